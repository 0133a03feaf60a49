//! HTTP interface for callers: checked requests and the server that responds to them.
//!
//! `docs/CALLERS.md` documents the headers.

pub mod intake;
pub mod request;
pub mod server;
