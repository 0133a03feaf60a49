//! The closed list of error kinds and the answer that each one gets.

mod error_kind;

pub use error_kind::{AnswerRow, ErrorKind, OutcomeClass};
