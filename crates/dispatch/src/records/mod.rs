//! What the owner keeps in the store: one record for each job's submission and progress, and for each wave.

mod store_record;

pub use store_record::{JobProgress, JobSubmission, RecordError, StoreRecord, WaveProgress};
