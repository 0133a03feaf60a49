use {
    crate::election::OwnerLocation,
    parking_lot::Mutex,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tokio::sync::watch,
};

/// Most addresses that are kept; a fleet has fewer entry hosts.
pub(super) const MAX_PEERS: usize = 1_024;

/// The other entry hosts that this process knows, and the owner of the fleet. Entry hosts that cannot reach the store
/// find a new owner through each other.
#[derive(Clone)]
pub struct PeerDirectory {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    local: SocketAddr,
    owner: watch::Sender<Option<OwnerLocation>>,
}

impl PeerDirectory {
    /// Creates a directory without peers; other entry hosts reach this process at `local`.
    pub fn new(local: SocketAddr, owner: watch::Sender<Option<OwnerLocation>>) -> Self {
        Self {
            addresses: Arc::default(),
            local,
            owner,
        }
    }

    /// Adds an entry host; this one and known ones are left out.
    pub fn add(&self, address: SocketAddr) {
        if address == self.local {
            return;
        }
        let mut addresses = self.addresses.lock();
        if let Err(index) = addresses.binary_search(&address)
            && addresses.len() < MAX_PEERS
        {
            addresses.insert(index, address);
        }
    }

    /// Adds an entry host by its IP address: all listen on the same port.
    pub fn add_host(&self, ip: IpAddr) {
        self.add(SocketAddr::new(ip, self.local.port()));
    }

    /// Returns the addresses of all other known entry hosts, sorted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.lock().clone()
    }

    /// Returns the owner of the fleet; `None` while it is unknown.
    pub fn owner(&self) -> Option<OwnerLocation> {
        self.owner.borrow().clone()
    }

    /// Records an owner that another entry host named, if its token is newer than that of the known one.
    pub fn record_owner(&self, token: u64, address: SocketAddr) {
        self.add(address);
        if address == self.local {
            return;
        }
        self.owner.send_if_modified(|owner| {
            let newer = owner.as_ref().is_none_or(|owner| owner.token < token);
            if newer {
                *owner = Some(OwnerLocation {
                    address,
                    token,
                    own: false,
                });
            }
            newer
        });
    }
}
