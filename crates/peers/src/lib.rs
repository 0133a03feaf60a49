//! What entry hosts say to each other: digests, relayed log entries and state transfer.
//!
//! `wire` holds the messages, `decisions` the logic without I/O or clock, `mesh` the connections.
//!
//! The daemon implements [`mesh::PeerHandler`]. It gives each digest it receives to
//! [`decisions::PeerTable`], the notices in it to the traffic policy, and each log entry it reads to
//! [`decisions::LogEntryBuffer`]. While it cannot read the log, [`decisions::StartupSource`] and
//! [`decisions::CatchUp`] tell what to ask of which peer through [`mesh::PeerMesh`].

pub mod decisions;
pub mod mesh;
pub mod wire;
