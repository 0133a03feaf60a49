//! The HTTP client that the platform clients share.

mod http_client;
mod reset_connector;

pub use http_client::{CallError, HttpClient, HttpResponse};
