//! The interface to the targets.

mod send_error;
mod target_request;
mod target_transport;

pub use {
    send_error::SendError,
    target_request::{RequestBody, TargetRequest},
    target_transport::{ResponseBody, TargetEndpoint, TargetResponse, TargetTransport},
};
