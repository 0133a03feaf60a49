//! The path of a request through an entry host.

mod body_reader;
mod counted_body;
mod job_intake;
mod policy_gate;
mod request_claims;
mod request_router;

pub use {policy_gate::PolicyGate, request_router::RequestRouter};
