//! The gRPC server of the operator interface.

mod operator_server;

pub use operator_server::OperatorServer;
