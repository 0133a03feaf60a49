//! Executes runs, one for each seed.

mod program;
mod soak_run;

pub use {
    program::main,
    soak_run::{RunShape, SoakRun},
};
