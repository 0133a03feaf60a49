//! Checked requests of callers.

mod caller_request;
mod header_names;
mod request_error;

pub use {
    caller_request::{CallerRequest, DEFAULT_DEADLINE, MAX_DEADLINE},
    header_names::{DEADLINE, IDEMPOTENT, KEY, OUTCOME, REASON, SERVICE, TARGET, TENANT, URGENCY},
    request_error::RequestError,
};
