//! Guards against headers of one connection that reach the target on another one.

use {
    bytes::Bytes,
    goldcreststall_callers::{
        intake::{IntakeFigures, IntakeLimits},
        request::{CallerRequest, RequestError},
        server::{CallerHandler, CallerResponse, CallerServer, JobRequest, ServerLimits},
    },
    goldcreststall_core::{
        error::ErrorKind,
        ids::{Millis, RequestKey},
    },
    http::HeaderMap,
    slog::{Discard, Logger, o},
    std::{net::Ipv4Addr, sync::Arc},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::mpsc::{self, UnboundedSender},
    },
    tokio_util::sync::CancellationToken,
};

/// Sends the headers that would be forwarded to the test, and refuses everything.
struct HeaderHandler(UnboundedSender<HeaderMap>);

fn refused() -> RequestError {
    RequestError::new(ErrorKind::NoTarget, "no targets in this test")
}

#[async_trait::async_trait]
impl CallerHandler for HeaderHandler {
    async fn forward(&self, request: CallerRequest) -> Result<CallerResponse, RequestError> {
        self.0.send(request.headers).unwrap();
        Err(refused())
    }

    async fn issue_key(&self) -> Result<RequestKey, RequestError> {
        Err(refused())
    }

    async fn job(&self, _: JobRequest) -> Result<Bytes, RequestError> {
        Err(refused())
    }

    fn healthy(&self) -> bool {
        true
    }

    fn has_state(&self) -> bool {
        true
    }

    fn record_intake(&self, _: IntakeFigures) {}

    fn metrics(&self) -> String {
        String::new()
    }
}

/// Returns the headers that are forwarded of a request with `lines` as its headers.
async fn forwarded(lines: &str) -> HeaderMap {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut headers) = mpsc::unbounded_channel();
    let timeout = Millis(60_000);
    let limits = ServerLimits {
        drain_timeout: timeout,
        intake: IntakeLimits::derive(None, None),
    };
    let logger = Logger::root(Discard, o!());
    let server = CallerServer::new(Arc::new(HeaderHandler(sender)), limits, logger);
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET /work HTTP/1.1\r\nhost: entry\r\ngcs-service: orders\r\ngcs-tenant: tenant-1\r\n\
         {lines}\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    headers.recv().await.unwrap()
}

/// `Keep-Alive` describes the connection of the caller; a target would apply it to the connection of the entry host.
#[tokio::test]
async fn keep_alive() {
    let headers = forwarded("connection: keep-alive\r\nkeep-alive: timeout=5\r\nx-a: 1\r\n").await;
    assert!(!headers.contains_key("connection"), "{headers:?}");
    assert!(!headers.contains_key("keep-alive"), "{headers:?}");
    assert_eq!(headers["x-a"], "1");
}

/// `Connection` names further headers that belong to the connection.
#[tokio::test]
async fn named_headers() {
    let lines =
        "connection: x-a, X-B\r\nconnection: x-c\r\nx-a: 1\r\nx-b: 2\r\nx-c: 3\r\nx-d: 4\r\n";
    let headers = forwarded(lines).await;
    for name in ["x-a", "x-b", "x-c"] {
        assert!(!headers.contains_key(name), "{name} in {headers:?}");
    }
    assert_eq!(headers["x-d"], "4");
}
