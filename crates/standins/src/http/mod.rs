//! HTTP server shared by the stand-ins.

mod http_server;

pub use http_server::{HandlerResponse, HttpHandler, json, serve, serve_connection, status};
