//! The path of a request through an entry host.

mod body_reader;
mod counted_body;
mod job_request_handler;
mod request_claims;
mod request_router;
mod request_scheduler;

pub use {request_router::RequestRouter, request_scheduler::RequestScheduler};
