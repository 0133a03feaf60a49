//! The gRPC client of the operator interface.

mod change_call;
mod operator_client;

pub use operator_client::OperatorClient;
