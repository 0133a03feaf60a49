use {
    http::Uri,
    hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo},
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::net::TcpStream,
    tower_service::Service,
};

/// Opens connections that are closed by a TCP reset.
///
/// After its timeout, a request may still be in the send buffer of a connection that is cut off by a network
/// partition. An orderly close would deliver it when the partition ends, seconds later and after newer requests; a
/// reset discards it.
#[derive(Clone, Debug)]
pub(super) struct ResetConnector(pub(super) HttpConnector);

impl Service<Uri> for ResetConnector {
    type Response = TokioIo<TcpStream>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            reset_on_close(stream.inner())?;
            Ok(stream)
        })
    }
}

fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
