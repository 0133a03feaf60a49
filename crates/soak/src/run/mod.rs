//! Carries runs out.

mod program;
mod soak_run;

pub use {
    program::main,
    soak_run::{RunShape, SoakRun},
};
