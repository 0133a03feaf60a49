//! Storage of the owner's records.

mod job_journal;
mod record_reader;

pub use {
    job_journal::{BatchOutcome, JobJournal},
    record_reader::RecordReader,
};
