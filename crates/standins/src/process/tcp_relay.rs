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

/// How a relay treats the bytes and connections of both directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Bytes are forwarded in both directions.
    Open,
    /// Bytes are forwarded in both directions after this delay, in milliseconds.
    Delay(u64),
    /// Bytes to the server are forwarded; bytes to the client are held.
    HoldReplies,
    /// Bytes to the client are forwarded; bytes to the server are held.
    HoldRequests,
    /// Bytes are held in both directions; connections stay open.
    Silent,
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    Cut,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToClient,
    ToServer,
}

impl RelayMode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::HoldReplies => direction == Direction::ToClient,
            Self::HoldRequests => direction == Direction::ToServer,
            // A connection that is about to close must not forward the bytes held before.
            Self::Cut | Self::Silent => true,
            Self::Open | Self::Delay(_) => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    /// Incremented by `silence_open`; connections opened in an earlier generation forward nothing any more.
    generation: u64,
}

/// Relays TCP connections to one server, and delays, holds or closes them on demand. Dropping it closes them.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `server` on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), server).await
    }

    /// Starts a relay to `server` that listens on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_at(address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(RelayState {
            mode: RelayMode::Open,
            generation: 0,
        });
        let task = tokio::spawn(accept_connections(listener, server, states));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Changes the mode of all connections, open and new.
    pub fn set(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Stops forwarding on the connections that are open now, for good and without closing them; new connections
    /// work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    states: watch::Receiver<RelayState>,
) {
    // Dropping the set closes the connections when the relay is dropped.
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(relay(client, server, states.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(client: TcpStream, server: SocketAddr, mut states: watch::Receiver<RelayState>) {
    let initial = *states.borrow();
    if initial.mode == RelayMode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let control = |direction| RelayControl {
        states: states.clone(),
        generation: initial.generation,
        direction,
    };
    let upstream = forward(client_read, server_write, control(Direction::ToServer));
    let downstream = forward(server_read, client_write, control(Direction::ToClient));
    tokio::select! {
        // An error in one direction closes the whole connection.
        _ = async { tokio::try_join!(upstream, downstream) } => {}
        _ = states.wait_for(|state| state.mode == RelayMode::Cut) => {}
    }
}

/// Delays or holds the bytes of one direction of one connection according to the state of the relay.
struct RelayControl {
    states: watch::Receiver<RelayState>,
    generation: u64,
    direction: Direction,
}

impl RelayControl {
    async fn wait_until_open(&mut self) -> io::Result<()> {
        let (generation, direction) = (self.generation, self.direction);
        let is_open =
            |state: &RelayState| state.generation == generation && !state.mode.holds(direction);
        let state = *self
            .states
            .wait_for(is_open)
            .await
            .map_err(io::Error::other)?;
        if let RelayMode::Delay(millis) = state.mode {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        Ok(())
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut control: RelayControl,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        control.wait_until_open().await?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
