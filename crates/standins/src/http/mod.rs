//! The HTTP server that the stand-ins share.

mod http_server;

pub use http_server::{HttpHandler, Reply, json, serve, status};
