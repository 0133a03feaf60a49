//! Records that the owner keeps in the store: the submission and the progress of each job, the progress of each wave, and
//! the restarts of runners.

mod store_record;

pub use store_record::{
    FIRST_KEY_AFTER_TEXTS, JobProgress, JobSubmission, RecordError, RestartId, RunnerRestart,
    StoreRecord, WaveProgress,
};
