//! The HTTP client that the clients of the platform services share.

mod http_client;
mod reset_connector;

pub use http_client::{CallError, HttpClient, HttpResponse};
