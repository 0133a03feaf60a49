//! Which entry host performs which control duty.

mod duty;
mod duty_roster;

pub use {
    duty::Duty,
    duty_roster::{DutyRoster, PEER_SILENCE_LIMIT, TAIL_SILENCE_LIMIT},
};
