//! Generates the Rust code of the schema files and detects committed code that is stale.

mod codegen_unit;
mod run;

pub use {
    codegen_unit::{CodegenUnit, StaleFile},
    run::{CODEGEN_UNITS, run},
};
