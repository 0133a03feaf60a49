use {
    crate::election::OwnerLocation,
    parking_lot::Mutex,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tokio::sync::watch,
};

/// Other entry hosts that this process has heard of, and who owns the fleet. Entry hosts that cannot reach the store
/// learn of a new owner from each other.
#[derive(Clone)]
pub struct PeerDirectory {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    local: SocketAddr,
    owner: watch::Sender<Option<OwnerLocation>>,
}

impl PeerDirectory {
    /// Creates a book of the process that answers at `local`.
    pub fn new(local: SocketAddr, owner: watch::Sender<Option<OwnerLocation>>) -> Self {
        Self {
            addresses: Arc::default(),
            local,
            owner,
        }
    }

    /// Adds an entry host by its address.
    pub fn add(&self, address: SocketAddr) {
        if address == self.local {
            return;
        }
        let mut addresses = self.addresses.lock();
        if let Err(index) = addresses.binary_search(&address) {
            addresses.insert(index, address);
        }
    }

    /// Adds an entry host by its IP number: all listen on the same port.
    pub fn add_host(&self, ip: IpAddr) {
        self.add(SocketAddr::new(ip, self.local.port()));
    }

    /// Returns all known entry hosts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.lock().clone()
    }

    /// Returns who owns the fleet, as far as known.
    pub fn owner(&self) -> Option<OwnerLocation> {
        self.owner.borrow().clone()
    }

    /// Takes another entry host's word for a newer owner.
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
