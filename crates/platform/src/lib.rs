//! Clients of the platform: the log service, the host list and the workers.
//!
//! `docs/PLATFORM.md` states what is assumed of each.

pub mod http;

pub mod hosts;
pub mod log;
pub mod worker_service;
