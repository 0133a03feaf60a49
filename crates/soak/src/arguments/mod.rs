//! Parses the command line.

mod soak_arguments;

pub use soak_arguments::{HELP, ReportFormat, SoakArguments};
