use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A record of the ownership topic: a claim, a renewal or a release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// The claiming process: name of its entry host and start time of the process.
    pub claimant: String,
    /// Where the claimant serves other entry hosts.
    pub address: SocketAddr,
    /// The fencing token of the term.
    pub token: u64,
    /// How long the claimant may send commands after it sent this record, in milliseconds.
    pub lease_ms: u64,
    /// The term has ended; another entry host may claim at once.
    pub released: bool,
}
