//! Generates the Rust code of the schema files, and tells whether the committed code is stale.

mod codegen_unit;
mod run;

pub use {
    codegen_unit::{CodegenUnit, StaleFile},
    run::{UNITS, run},
};
