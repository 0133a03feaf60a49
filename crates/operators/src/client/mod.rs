//! The gRPC client.

mod operator_client;

pub use operator_client::OperatorClient;
