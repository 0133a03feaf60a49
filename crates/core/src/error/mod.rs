//! The closed list of error kinds and the response that each one gets.

mod error_kind;

pub use error_kind::{ErrorKind, ErrorResponse, OutcomeClass};
