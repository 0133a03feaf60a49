//! The daemon of an entry host on a platform whose runners take commands: election of the owner, journal, feeds,
//! the control actor, the job API for callers, and links between entry hosts.

pub mod api;
pub mod control;
pub mod daemon;
pub mod delegates;
pub mod election;
pub mod feeds;
pub mod journal;
pub mod links;
pub mod metrics;
pub mod ports;
pub mod runners;
