//! Which entry host performs which control duty.

mod duty;
mod duty_assignments;

pub use {
    duty::Duty,
    duty_assignments::{DutyAssignments, LOG_SILENCE_TIMEOUT, PEER_SILENCE_TIMEOUT},
};
