//! The interface between the remote procedure calls and the daemon.

mod operator_backend;

pub use operator_backend::OperatorBackend;
