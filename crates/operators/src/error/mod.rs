//! The error of a call, and the table that maps each of its kinds to a gRPC code.

mod error_kind;
mod field_mistake;
mod operator_error;
mod status;

pub use {
    error_kind::{ErrorMapping, OperatorErrorKind},
    field_mistake::FieldMistake,
    operator_error::OperatorError,
};
