//! The HTTP server for callers.

mod caller_handler;
mod caller_server;
mod response_body;

pub use {
    caller_handler::{CallerHandler, CallerResponse, JobRequest},
    caller_server::{CallerServer, ServerLimits},
    response_body::{BodyError, ResponseBody},
};
