//! The HTTP client that the clients of the platform services share.

mod connection_count;
mod counted_stream;
mod http_client;
mod reset_connector;
mod response_budget;

pub use {
    connection_count::ConnectionCount,
    http_client::{CallError, HttpClient, HttpResponse},
};
