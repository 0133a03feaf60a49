use {
    super::{connection_count::ConnectionCount, counted_stream::CountedStream},
    http::Uri,
    hyper_util::client::legacy::connect::HttpConnector,
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::net::TcpStream,
    tower_service::Service,
};

/// Opens connections that are counted, and closed by a TCP reset.
///
/// After its timeout, a request may still be in the send buffer of a connection that is cut off by a network
/// partition. An orderly close would deliver it when the partition ends, seconds later and after newer requests; a
/// reset discards it.
#[derive(Clone, Debug)]
pub(super) struct ResetConnector {
    pub(super) connector: HttpConnector,
    pub(super) connections: ConnectionCount,
}

impl Service<Uri> for ResetConnector {
    type Response = CountedStream;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let connections = self.connections.clone();
        Box::pin(async move {
            let stream = connecting.await?;
            reset_on_close(stream.inner())?;
            let address = stream.inner().peer_addr()?;
            Ok(CountedStream {
                stream,
                _open: connections.add(address),
            })
        })
    }
}

fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
