use {
    super::connection_pool::{ConnectionPermit, ConnectionPool, IdleSender},
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        error::Error,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of a response. It returns its connection to the pool only after its end was read.
pub(super) struct PooledBody {
    connection: Option<(IdleSender, ConnectionPermit)>,
    incoming: Incoming,
    pool: ConnectionPool,
}

impl PooledBody {
    pub(super) fn new(
        incoming: Incoming,
        connection: (IdleSender, ConnectionPermit),
        pool: ConnectionPool,
    ) -> Self {
        let mut body = Self {
            connection: Some(connection),
            incoming,
            pool,
        };
        if body.incoming.is_end_stream() {
            body.finish();
        }
        body
    }

    /// Returns the connection to the pool once it can take another request.
    fn finish(&mut self) {
        let Some((mut sender, permit)) = self.connection.take() else {
            return;
        };
        let pool = self.pool.clone();
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                pool.return_idle(sender, permit);
            }
        });
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        match &frame {
            Poll::Ready(None) => self.finish(),
            // A failed exchange closes its connection.
            Poll::Ready(Some(Err(_))) => self.connection = None,
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.finish(),
            _ => {}
        }
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
