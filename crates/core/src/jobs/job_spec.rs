use {
    super::JobSize,
    crate::{
        ids::{LogTime, Millis, OrganisationName, PoolName, ServiceName},
        traffic::Urgency,
    },
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Longest payload of a job. Larger inputs are passed by reference, because every entry host keeps the
/// payloads of all unfinished jobs in memory.
pub const MAX_PAYLOAD_BYTES: usize = 1024;

/// What is submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Whether the worker can save the progress of the job, stop it and resume it later.
    pub checkpoints: bool,
    /// When the job has to be done. A job that is late is reported and still runs.
    pub deadline: LogTime,
    /// Whether the job may run again after an attempt whose outcome is unknown.
    pub idempotent: bool,
    /// What the worker is to do; opaque to us.
    pub payload: String,
    /// The pool whose workers may run the job.
    pub pool: PoolName,
    /// Declared run time.
    pub run_time: Millis,
    /// The kind of work.
    pub service: ServiceName,
    /// Declared size.
    pub size: JobSize,
    /// On whose behalf the job runs.
    pub organisation: OrganisationName,
    /// How soon the job is needed.
    pub urgency: Urgency,
}

impl JobSpec {
    /// Returns a hash by which a repeated submission is told from another job under the same id.
    pub(super) fn digest(&self) -> u64 {
        // Encoding to memory fails only for types without a known length, which none of ours is.
        xxh3_64(&postcard::to_stdvec(self).expect("types have a known length"))
    }

    /// Tells whether the job asks for something and its payload is not too long.
    pub(super) fn is_valid(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_BYTES && self.size.cores_milli > 0
    }
}
