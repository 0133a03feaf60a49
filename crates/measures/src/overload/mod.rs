//! Tables of the traffic policy under overload, compared with the first-come-first-served baseline.

mod deployment;
mod entry_host;
mod failing_table;
mod fake_target;
mod figure_table;
mod floods_table;
mod organisations_table;
mod outcome;
mod scenario;
mod simulation;
mod sizes_table;
mod turns_table;
mod value_summary;
mod workload;

pub use {
    failing_table::print_failing,
    floods_table::print_floods,
    organisations_table::print_organisations,
    sizes_table::print_sizes,
    turns_table::{print_turns, print_uneven},
};
