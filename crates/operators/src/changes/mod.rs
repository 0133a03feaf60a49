//! The changes that operators ask for, and what becomes of them.

mod change_order;
mod change_outcome;
mod from_raw;
mod job_spec;
mod operator_change;
mod operator_name;

pub(crate) use from_raw::WaveAction;
pub use {
    change_order::ChangeOrder,
    change_outcome::ChangeOutcome,
    job_spec::JobSpec,
    operator_change::{OperatorChange, SeenHost},
    operator_name::OperatorName,
};
