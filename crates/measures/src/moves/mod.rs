//! Number of host moves, compared with a baseline that follows every flood.

mod flood_demand;
mod moves_run;
mod moves_table;

pub use moves_table::print_moves;
