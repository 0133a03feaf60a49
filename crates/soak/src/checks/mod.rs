//! Checks the invariants against what runners and callers observed.

mod caller_check;
mod invariant_violation;
mod item_history;
mod run_check;
mod waiting_items;

pub use {
    caller_check::check_callers,
    invariant_violation::{Invariant, InvariantViolation},
    run_check::RunCheck,
};
