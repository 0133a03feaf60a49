//! HTTP towards callers: what they send, and how they are answered.
//!
//! `docs/CALLERS.md` documents the headers.

pub mod request;
pub mod server;
