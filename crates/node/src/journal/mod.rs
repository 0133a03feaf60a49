//! Storage of the owner's records.

mod job_journal;

pub use job_journal::{BatchOutcome, JobJournal};
