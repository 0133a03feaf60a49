//! Growth of the cost of decisions and of the state with the size of the fleet.

mod decision_bench;
mod state_bench;

pub use {
    decision_bench::{print_decisions, print_updates},
    state_bench::print_state,
};
