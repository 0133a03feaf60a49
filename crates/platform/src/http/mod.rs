//! The HTTP client that the platform clients share.

mod http_caller;
mod reset_connector;

pub use http_caller::{CallFailure, HttpCaller, HttpReply};
