//! The platform as the system sees it: the log service and the list of hosts.
//!
//! `docs/PLATFORM.md` states what is assumed of each.

mod http;

pub mod hosts;
pub mod log;
