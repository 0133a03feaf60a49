//! Calls to the entry hosts: which one is tried next, and when a change is repeated.

mod entry_calls;
mod entry_connector;

pub(crate) use entry_calls::EntryCalls;
pub use entry_connector::{EntryConnector, GrpcConnector};
