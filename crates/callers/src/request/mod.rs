//! Requests of callers and the checks of their headers.

mod caller_request;
mod header_names;
mod request_error;

pub use {
    caller_request::{CallerRequest, DEFAULT_DEADLINE, MAX_DEADLINE},
    header_names::{
        DEADLINE, IDEMPOTENT, KEY, ORGANISATION, OUTCOME, REASON, SERVICE, TARGET, URGENCY,
    },
    request_error::RequestError,
};
