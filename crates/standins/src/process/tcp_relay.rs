use {
    parking_lot::Mutex,
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{ReadHalf, WriteHalf},
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

/// A connection that may still be open.
#[derive(Debug)]
struct RelayedConnection {
    client: SocketAddr,
    /// Once set, the connection forwards nothing any more, not even its end. Gone when the connection has ended.
    silent: Weak<AtomicBool>,
}

/// Relays TCP connections to one server, and delays, holds or closes them on demand. Dropping it closes them.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    connections: Arc<Mutex<Vec<RelayedConnection>>>,
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
        let (mode, modes) = watch::channel(RelayMode::Open);
        let connections = Arc::default();
        let acceptor = RelayAcceptor {
            server,
            modes,
            connections: Arc::clone(&connections),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            mode,
            connections,
            task,
        })
    }

    /// Changes the mode of all connections, open and new.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Stops forwarding on the connections that are open now, for good and without closing them; new connections
    /// work.
    pub fn silence_open(&self) {
        self.silence(|_| true);
    }

    /// Stops forwarding on the open connections of clients that lose power, for good: neither the bytes nor the end of
    /// such a client reach the server, which keeps the connections open.
    pub fn silence_clients(&self, clients: &[SocketAddr]) {
        self.silence(|client| clients.contains(&client));
    }

    fn silence(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let connections = self.connections.lock();
        for connection in connections.iter().filter(|other| wanted(other.client)) {
            if let Some(silent) = connection.silent.upgrade() {
                silent.store(true, Ordering::Relaxed);
            }
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct RelayAcceptor {
    server: SocketAddr,
    modes: watch::Receiver<RelayMode>,
    connections: Arc<Mutex<Vec<RelayedConnection>>>,
}

impl RelayAcceptor {
    async fn run(self, listener: TcpListener) {
        // Dropping the set closes the connections when the relay is dropped.
        let mut tasks = JoinSet::new();
        while let Ok((stream, client)) = listener.accept().await {
            let silent = Arc::default();
            self.add(client, &silent);
            tasks.spawn(relay(stream, self.server, self.modes.clone(), silent));
            while tasks.try_join_next().is_some() {}
        }
    }

    fn add(&self, client: SocketAddr, silent: &Arc<AtomicBool>) {
        let mut connections = self.connections.lock();
        connections.retain(|other| other.silent.strong_count() > 0);
        connections.push(RelayedConnection {
            client,
            silent: Arc::downgrade(silent),
        });
    }
}

async fn relay(
    mut client: TcpStream,
    server: SocketAddr,
    mut modes: watch::Receiver<RelayMode>,
    silent: Arc<AtomicBool>,
) {
    if *modes.borrow() == RelayMode::Cut {
        return;
    }
    let Ok(mut server) = TcpStream::connect(server).await else {
        // Fails only when the client has ended the connection.
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let has_failed = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let control = |direction| RelayControl {
            modes: modes.clone(),
            silent: Arc::clone(&silent),
            direction,
        };
        let upstream = forward(client_read, server_write, control(Direction::ToServer));
        let downstream = forward(server_read, client_write, control(Direction::ToClient));
        tokio::select! {
            result = async { tokio::try_join!(upstream, downstream) } => result.is_err(),
            _ = modes.wait_for(|mode| *mode == RelayMode::Cut) => false,
        }
    };
    if has_failed {
        // A reset by one side reaches the other as a reset. Setting fails only on a connection that has ended.
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Delays or holds the bytes of one direction of one connection according to the state of the relay.
struct RelayControl {
    modes: watch::Receiver<RelayMode>,
    silent: Arc<AtomicBool>,
    direction: Direction,
}

impl RelayControl {
    async fn wait_until_open(&mut self) -> io::Result<()> {
        let direction = self.direction;
        let is_open = |mode: &RelayMode| !mode.holds(direction);
        let mode = *self
            .modes
            .wait_for(is_open)
            .await
            .map_err(io::Error::other)?;
        if let RelayMode::Delay(millis) = mode {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        if self.silent.load(Ordering::Relaxed) {
            return pending().await;
        }
        Ok(())
    }
}

async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut control: RelayControl,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        // The end of a connection is held like its bytes, also when it is a reset.
        control.wait_until_open().await?;
        let length = read?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
