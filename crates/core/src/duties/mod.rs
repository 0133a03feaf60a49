//! Which entry host performs which control duty.

mod duty;
mod duty_assignments;

pub use {
    duty::Duty,
    duty_assignments::{DutyAssignments, PEER_SILENCE_LIMIT, TAIL_SILENCE_LIMIT},
};
