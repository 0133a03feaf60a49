//! What a run has shown, as text and JSON.

mod soak_report;

pub use soak_report::SoakReport;
