//! Handles changes and queries of operators.

mod change_record;
mod entry_backend;
mod fleet_reports;
mod job_reports;
mod status_reports;

pub use entry_backend::EntryBackend;
