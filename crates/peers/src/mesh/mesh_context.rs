use {
    super::{MeshSettings, PeerDialer, PeerError, PeerHandler},
    crate::wire::Hello,
    goldcreststall_core::ids::{EntryName, LocalTime},
    slog::Logger,
    std::sync::{Arc, Mutex, PoisonError},
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// State shared by all connections of a mesh.
pub(super) struct MeshContext {
    pub(super) dialer: Arc<dyn PeerDialer>,
    pub(super) handler: Arc<dyn PeerHandler>,
    pub(super) logger: Logger,
    pub(super) random: Arc<dyn Fn() -> u64 + Send + Sync>,
    pub(super) settings: MeshSettings,
    pub(super) stop: CancellationToken,
    epoch: Instant,
    /// When each peer last sent a digest, in the order of the settings.
    last_contact: Vec<Mutex<Instant>>,
}

impl MeshContext {
    pub(super) fn new(
        settings: MeshSettings,
        dialer: Arc<dyn PeerDialer>,
        handler: Arc<dyn PeerHandler>,
        random: Arc<dyn Fn() -> u64 + Send + Sync>,
        logger: Logger,
        stop: CancellationToken,
    ) -> Self {
        let epoch = Instant::now();
        let peers = settings.peers().iter();
        Self {
            dialer,
            epoch,
            handler,
            last_contact: peers.map(|_| Mutex::new(epoch)).collect(),
            logger,
            random,
            settings,
            stop,
        }
    }

    /// Returns the time since the mesh started.
    pub(super) fn now(&self) -> LocalTime {
        let millis = self.epoch.elapsed().as_millis();
        LocalTime(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    pub(super) fn peer_index(&self, name: &EntryName) -> Result<usize, PeerError> {
        let peers = self.settings.peers();
        let index = peers.binary_search_by(|peer| peer.name.cmp(name));
        index.map_err(|_| PeerError::UnknownPeer(name.clone()))
    }

    /// Returns the index of the peer that opened a connection to this host.
    pub(super) fn identify(&self, hello: &Hello) -> Result<usize, PeerError> {
        if hello.to != self.settings.local.name {
            return Err(PeerError::WrongReceiver(hello.to.clone()));
        }
        self.peer_index(&hello.from.name)
    }

    pub(super) fn record_contact(&self, peer: usize) {
        *self.contact_slot(peer) = Instant::now();
    }

    pub(super) fn last_contact(&self, peer: usize) -> Instant {
        *self.contact_slot(peer)
    }

    fn contact_slot(&self, peer: usize) -> std::sync::MutexGuard<'_, Instant> {
        let slot = &self.last_contact[peer];
        // A panic cannot leave an instant partially written, so a poisoned lock is safe to use.
        slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
