//! Sends requests to targets, and reports for each failure whether the request may have run.

pub mod pool;
pub mod transport;
