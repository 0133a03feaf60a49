//! The gRPC server.

mod operator_server;

pub use operator_server::OperatorServer;
