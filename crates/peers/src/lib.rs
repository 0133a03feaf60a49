//! Communication between entry hosts: digests, relayed log entries and state transfer.
//!
//! `wire` holds the messages, `decisions` the logic without I/O or clock, and `mesh` the connections.
//!
//! The daemon implements [`mesh::PeerHandler`]. It passes each received digest to [`decisions::PeerTable`],
//! the notices in it to the traffic policy, and each log entry it reads to [`decisions::LogEntryBuffer`].
//! While it cannot read the log, [`decisions::StartupSource`] and [`decisions::CatchUp`] decide what to
//! request from which peer through [`mesh::PeerMesh`].

pub mod decisions;
pub mod mesh;
pub mod wire;
