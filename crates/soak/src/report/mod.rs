//! Reports the result of a run as text or JSON.

mod soak_report;

pub use soak_report::SoakReport;
