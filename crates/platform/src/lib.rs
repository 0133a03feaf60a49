//! The platform as the system sees it: the log service, the list of hosts and the workers.
//!
//! `docs/PLATFORM.md` states what is assumed of each.

pub mod http;

pub mod hosts;
pub mod log;
pub mod worker_service;
