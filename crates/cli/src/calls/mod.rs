//! Calls to the entry hosts: the order in which they are tried, and when a change is sent again.

mod entry_connector;
mod failover_client;

pub use entry_connector::{EntryConnector, GrpcConnector};
pub(crate) use failover_client::FailoverClient;
