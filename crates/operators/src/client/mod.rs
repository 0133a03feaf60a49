//! The gRPC client.

mod change_call;
mod operator_client;

pub use operator_client::OperatorClient;
