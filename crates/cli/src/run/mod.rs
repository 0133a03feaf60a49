//! One run of the program.

mod program;
mod terminal;

pub use {program::run, terminal::Terminal};
