//! The changes that operators request, and their outcomes.

mod change_outcome;
mod change_request;
mod from_raw;
mod job_spec;
mod operator_change;
mod operator_name;

pub(crate) use from_raw::WaveAction;
pub use {
    change_outcome::ChangeOutcome,
    change_request::ChangeRequest,
    job_spec::JobSpec,
    operator_change::{OperatorChange, SeenHostVersion},
    operator_name::OperatorName,
};
