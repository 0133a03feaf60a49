//! Runs a command and prints its result.

mod program;
mod terminal;

pub use {program::run, terminal::Terminal};
