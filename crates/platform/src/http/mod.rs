//! The HTTP client that the platform clients share.

mod http_caller;

pub use http_caller::{CallFailure, HttpCaller, HttpReply};
