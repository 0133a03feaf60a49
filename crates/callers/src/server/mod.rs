//! The HTTP server towards callers.

mod answer_body;
mod caller_handler;
mod caller_server;

pub use {
    answer_body::{AnswerBody, BodyError},
    caller_handler::{CallerAnswer, CallerHandler, JobRequest},
    caller_server::{CallerServer, ServerLimits},
};
