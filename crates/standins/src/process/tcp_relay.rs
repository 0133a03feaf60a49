use {
    std::{io, net::SocketAddr, time::Duration},
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
    /// Bytes pass after this time, in milliseconds.
    Delay(u64),
    /// Bytes towards the server pass; those towards the client wait.
    HoldReplies,
    /// Bytes towards the client pass; those towards the server wait.
    HoldRequests,
    /// No bytes pass, in either direction.
    Silent,
    /// Connections are closed, and new ones are closed at once.
    Cut,
}

/// Where the bytes of one direction go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayWay {
    ToClient,
    ToServer,
}

impl RelayMode {
    fn holds(self, way: RelayWay) -> bool {
        match self {
            Self::HoldReplies => way == RelayWay::ToClient,
            Self::HoldRequests => way == RelayWay::ToServer,
            // A connection that is about to close must not pass what was held before.
            Self::Cut | Self::Silent => true,
            Self::Open | Self::Delay(_) => false,
        }
    }
}

/// What a relay does, and which of its connections are silent for good.
#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    /// Connections that were opened before this number of silences pass nothing any more.
    silences: u64,
}

/// Carries TCP connections to one address, and cuts or holds them on demand.
#[derive(Debug)]
pub struct TcpRelay {
    /// Where the relay listens.
    pub address: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `server`.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), server).await
    }

    /// Starts a relay to `server` that listens at `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_at(address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(RelayState {
            mode: RelayMode::Open,
            silences: 0,
        });
        let task = tokio::spawn(accept_all(listener, server, states));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Changes what happens to the connections, open and new.
    pub fn set(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Lets the open connections pass nothing any more, without closing them; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    listener: TcpListener,
    server: SocketAddr,
    states: watch::Receiver<RelayState>,
) {
    // The connections end with the relay.
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(carry(client, server, states.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(client: TcpStream, server: SocketAddr, mut states: watch::Receiver<RelayState>) {
    let first = *states.borrow();
    if first.mode == RelayMode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let gate = |way| RelayGate {
        states: states.clone(),
        silences: first.silences,
        way,
    };
    let up = pass(client_read, server_write, gate(RelayWay::ToServer));
    let down = pass(server_read, client_write, gate(RelayWay::ToClient));
    tokio::select! {
        // A direction that fails ends the whole connection.
        _ = async { tokio::try_join!(up, down) } => {}
        _ = states.wait_for(|state| state.mode == RelayMode::Cut) => {}
    }
}

/// Holds the bytes of one direction of one connection as long as the relay says so.
struct RelayGate {
    states: watch::Receiver<RelayState>,
    silences: u64,
    way: RelayWay,
}

impl RelayGate {
    async fn wait(&mut self) -> io::Result<()> {
        let (silences, way) = (self.silences, self.way);
        let open = |state: &RelayState| state.silences == silences && !state.mode.holds(way);
        let state = *self.states.wait_for(open).await.map_err(io::Error::other)?;
        if let RelayMode::Delay(millis) = state.mode {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        Ok(())
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut gate: RelayGate,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        gate.wait().await?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}
