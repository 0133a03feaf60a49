//! Handling of callers' requests: queueing, claims, sending and job requests.

mod body_reader;
mod job_request_handler;
mod request_claims;
mod request_router;
mod request_scheduler;
mod slot_holding_body;

pub use {request_router::RequestRouter, request_scheduler::RequestScheduler};
