//! Pool of HTTP/1.1 connections to targets; each carries one exchange at a time.

mod connection_pool;
mod pooled_body;
mod pooled_transport;

pub use pooled_transport::PooledTransport;
