use {
    crate::decisions::NODE_BUDGET_BYTES,
    goldcreststall_core::ids::{EntryId, EntryName, NameError},
    std::{fmt, net::SocketAddr},
};

/// Why the configured peers are not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerSettingError {
    /// The text does not have the form `name=ip:port`.
    #[error("peer \"{0}\" is not of the form name=ip:port")]
    InvalidFormat(String),
    /// The name of the peer is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Two peers have the same name.
    #[error("peer {0} is given twice")]
    Duplicate(EntryName),
}

/// Name and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Address on which the peer listens.
    pub address: SocketAddr,
    /// Name of the peer.
    pub name: EntryName,
}

impl TryFrom<&str> for PeerAddress {
    type Error = PeerSettingError;

    fn try_from(value: &str) -> Result<Self, PeerSettingError> {
        let invalid_format = || PeerSettingError::InvalidFormat(value.to_owned());
        let (name, address) = value.split_once('=').ok_or_else(invalid_format)?;
        Ok(Self {
            address: address.parse().map_err(|_| invalid_format())?,
            name: EntryName::try_from(name)?,
        })
    }
}

impl fmt::Display for PeerAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}", self.name, self.address)
    }
}

/// Settings of a mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshSettings {
    /// Name and incarnation of this entry host.
    pub local: EntryId,
    /// Bytes of digest frames that this host sends per second to all its peers together.
    pub node_budget_bytes: u32,
    peers: Vec<PeerAddress>,
}

impl MeshSettings {
    /// Checks the peers. The name of this host may be among them and is left out, so that every entry host
    /// can have the same list.
    ///
    /// # Errors
    /// `PeerSettingError::Duplicate` when a name is given twice.
    pub fn new(local: EntryId, mut peers: Vec<PeerAddress>) -> Result<Self, PeerSettingError> {
        peers.retain(|peer| peer.name != local.name);
        peers.sort_by(|left, right| left.name.cmp(&right.name));
        let mut pairs = peers.windows(2);
        if let Some(pair) = pairs.find(|pair| pair[0].name == pair[1].name) {
            return Err(PeerSettingError::Duplicate(pair[0].name.clone()));
        }
        Ok(Self {
            local,
            node_budget_bytes: NODE_BUDGET_BYTES,
            peers,
        })
    }

    /// Returns the peers, sorted by name.
    pub fn peers(&self) -> &[PeerAddress] {
        &self.peers
    }
}
