//! The promises, checked from what runners and callers have seen.

mod broken_promise;
mod caller_check;
mod item_history;
mod run_check;

pub use {
    broken_promise::{BrokenPromise, Promise},
    caller_check::check_callers,
    run_check::RunCheck,
};
