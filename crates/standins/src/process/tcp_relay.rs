use {
    std::{io, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::{JoinHandle, JoinSet},
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Bytes pass in both directions.
    Open,
    /// Bytes towards the server pass; those towards the client wait.
    HoldReplies,
    /// Connections are closed, and new ones are closed at once.
    Cut,
}

/// Carries TCP connections to one address, and cuts or holds them on demand.
#[derive(Debug)]
pub struct TcpRelay {
    /// Where the relay listens.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `server`.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(RelayMode::Open);
        let task = tokio::spawn(accept_all(listener, server, modes));
        Ok(Self {
            address,
            mode,
            task,
        })
    }

    /// Changes what happens to the connections, open and new.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, server: SocketAddr, modes: watch::Receiver<RelayMode>) {
    // The connections end with the relay.
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(carry(client, server, modes.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(client: TcpStream, server: SocketAddr, mut modes: watch::Receiver<RelayMode>) {
    if *modes.borrow() == RelayMode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = pass(client_read, server_write, None);
    let down = pass(server_read, client_write, Some(modes.clone()));
    tokio::select! {
        // A direction that fails ends the whole connection.
        _ = async { tokio::try_join!(up, down) } => {}
        _ = modes.wait_for(|mode| *mode == RelayMode::Cut) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: Option<watch::Receiver<RelayMode>>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if let Some(modes) = &mut modes {
            let open = modes.wait_for(|mode| *mode == RelayMode::Open).await;
            open.map_err(io::Error::other)?;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}
