//! Generates the Rust code of the schema files, and tells whether the committed code is stale.

mod code_unit;
mod run;

pub use {
    code_unit::{CodeUnit, StaleFile},
    run::{UNITS, run},
};
