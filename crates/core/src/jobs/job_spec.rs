use {
    super::JobSize,
    crate::{
        ids::{LogTime, Millis, OrganisationName, PoolName, ServiceName},
        traffic::Urgency,
    },
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum length of a payload. Larger inputs are passed by reference, because every entry host keeps the payloads
/// of all unfinished jobs in memory.
pub const MAX_PAYLOAD_BYTES: usize = 1024;

/// Description of a job as its organisation submits it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Whether a worker can save the job's progress, stop the job and resume it later.
    pub checkpoints: bool,
    /// Log time by which the job should be done. An overdue job is reported and still runs.
    pub deadline: LogTime,
    /// Whether the job may run again after an attempt whose outcome is unknown.
    pub idempotent: bool,
    /// Input for the worker, at most [`MAX_PAYLOAD_BYTES`]; not interpreted here.
    pub payload: String,
    /// Only workers of this pool run the job.
    pub pool: PoolName,
    /// Declared run time, replaced by the estimate once enough tasks have ended.
    pub run_time: Millis,
    /// Kind of work; estimates are kept for each service and organisation.
    pub service: ServiceName,
    /// Declared size; `cores_milli` must not be 0.
    pub size: JobSize,
    /// Customer whose quota and fair share the job counts against.
    pub organisation: OrganisationName,
    /// How soon the job is needed.
    pub urgency: Urgency,
}

impl JobSpec {
    /// Returns a hash that distinguishes a repeated submission from another job under the same id.
    pub(super) fn digest(&self) -> u64 {
        // Encoding to memory fails only for sequences of unknown length, which a job does not contain.
        xxh3_64(&postcard::to_stdvec(self).expect("types have a known length"))
    }

    /// Tells whether the job requests processor time and its payload is not too long.
    pub(super) fn is_valid(&self) -> bool {
        self.payload.len() <= MAX_PAYLOAD_BYTES && self.size.cores_milli > 0
    }
}
