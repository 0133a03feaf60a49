//! Guards against responses that are wrongly taken for complete or for truncated.

use {
    bytes::Bytes,
    goldcreststall_core::{
        error::ErrorKind,
        ids::{HostName, Incarnation},
    },
    goldcreststall_targets::{
        pool::PooledTransport,
        transport::{RequestBody, SendError, TargetEndpoint, TargetRequest, TargetTransport},
    },
    http::{HeaderMap, Method},
    http_body_util::BodyExt,
    std::net::Ipv4Addr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Reads the head of a request and answers with `response`. The connection stays open, so that only the head of the
/// response can tell the client that there is no body.
async fn answer(mut stream: TcpStream, response: &str) -> TcpStream {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(response.as_bytes()).await.unwrap();
    stream
}

/// Sends a request to a target that answers with `response`, and returns the body.
async fn send(method: Method, response: &'static str) -> Result<Bytes, SendError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let endpoint = TargetEndpoint {
        address: listener.local_addr().unwrap(),
        connections: 1,
        host: HostName::try_from("h1").unwrap(),
        incarnation: Incarnation(1),
    };
    let target = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream, response).await
    });
    let request = TargetRequest {
        body: RequestBody::default(),
        headers: HeaderMap::new(),
        method,
        path: "/".to_owned(),
    };
    let received = PooledTransport::new().send(&endpoint, request).await?;
    let body = received.body.collect().await.unwrap();
    drop(target.await);
    Ok(body.to_bytes())
}

/// A response to HEAD never has a body, so its head need not give a length.
#[tokio::test]
async fn head_without_length() {
    let body = send(Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n").await;
    assert_eq!(body.map_err(|error| error.kind), Ok(Bytes::new()));
}

/// Without a length or chunks, a truncated body of another method would look complete.
#[tokio::test]
async fn body_without_length() {
    let body = send(Method::GET, "HTTP/1.1 200 OK\r\n\r\nhalf").await;
    let kind = body.map_err(|error| error.kind);
    assert_eq!(kind, Err(ErrorKind::AnswerTruncated));
}
