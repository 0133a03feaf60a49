use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A record of the ownership topic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// The claiming process: name of the entry host and start of the process.
    pub claimant: String,
    /// Where the claimant answers other entry hosts.
    pub address: SocketAddr,
    /// The fencing token of the term.
    pub token: u64,
    /// How long the claimant may give commands after it sent this record, in milliseconds.
    pub lease_ms: u64,
    /// The term is over; another entry host may claim at once.
    pub released: bool,
}
