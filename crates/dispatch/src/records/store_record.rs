use {
    crate::{
        jobs::{JobId, JobPhase, JobSpec},
        routes::RouteRule,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Format of the values; a value with another first byte is refused.
const FORMAT: u8 = 1;
/// Format of submissions that name their time of day; those of [`FORMAT`] do not.
const TIMED_FORMAT: u8 = 2;

/// A record that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The key is of no known kind.
    #[error("unknown key {0:?}")]
    Key(String),
    /// The value has another format or is damaged.
    #[error("the value of {0:?} cannot be read")]
    Value(String),
}

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// The queue at the time of the submission.
    pub queue: RouteRule,
    /// What the caller described.
    pub job: JobSpec,
    /// Time of day at which an entry host took it, in Unix milliseconds; 0 when that is not known.
    pub accepted_ms: u64,
}

/// A submission as earlier versions stored it.
#[derive(Deserialize)]
struct UntimedSubmission {
    queue: RouteRule,
    job: JobSpec,
}

/// What has ended of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// Where the job stands.
    pub phase: JobPhase,
    /// A work item has started.
    pub begun: bool,
    /// Places of the work items that are done, ascending.
    pub done: Vec<u32>,
    /// Places of work items that have failed, with the numbers of the failed runs.
    pub fails: Vec<(u32, Vec<u32>)>,
}

/// What has been done of a wave.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Hosts whose maintenance was accepted by the platform.
    pub begun: Vec<String>,
    /// The wave is over.
    pub completed: bool,
}

/// A record of the owner's topic, with the key that it replaces.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRecord {
    /// The submission of a job.
    Submission(JobId, JobSubmission),
    /// The progress of a job.
    Progress(JobId, JobProgress),
    /// The progress of a wave.
    Wave(u64, WaveProgress),
    /// The job is forgotten.
    Forgotten(JobId),
}

impl StoreRecord {
    /// Returns keys and values to append; an empty value drops the key.
    pub fn encode(&self) -> Vec<(String, Vec<u8>)> {
        match self {
            Self::Submission(id, submission) => {
                vec![(format!("j/{id}"), encode(TIMED_FORMAT, submission))]
            }
            Self::Progress(id, progress) => vec![(format!("p/{id}"), encode(FORMAT, progress))],
            Self::Wave(number, progress) => vec![(format!("w/{number}"), encode(FORMAT, progress))],
            Self::Forgotten(id) => {
                vec![
                    (format!("j/{id}"), Vec::new()),
                    (format!("p/{id}"), Vec::new()),
                ]
            }
        }
    }

    /// Reads a record back.
    ///
    /// # Errors
    /// When the key or the value is not one that this version writes.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, RecordError> {
        let unknown = || RecordError::Key(key.to_owned());
        let (kind, name) = key.split_once('/').ok_or_else(unknown)?;
        match kind {
            "j" => {
                let id = JobId::try_from(name).map_err(|_| unknown())?;
                Ok(Self::Submission(id, decode_submission(key, value)?))
            }
            "p" => {
                let id = JobId::try_from(name).map_err(|_| unknown())?;
                Ok(Self::Progress(id, decode(key, value, FORMAT)?))
            }
            "w" => {
                let number = name.parse().map_err(|_| unknown())?;
                Ok(Self::Wave(number, decode(key, value, FORMAT)?))
            }
            _ => Err(unknown()),
        }
    }
}

fn decode_submission(key: &str, value: &[u8]) -> Result<JobSubmission, RecordError> {
    if value.first() == Some(&TIMED_FORMAT) {
        return decode(key, value, TIMED_FORMAT);
    }
    let UntimedSubmission { queue, job } = decode(key, value, FORMAT)?;
    Ok(JobSubmission {
        queue,
        job,
        accepted_ms: 0,
    })
}

fn encode(format: u8, value: &impl Serialize) -> Vec<u8> {
    let bytes = vec![format];
    // The types hold no maps or unsized sequences, so that serialization cannot fail.
    postcard::to_extend(value, bytes).expect("a plain record is serializable")
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8], format: u8) -> Result<T, RecordError> {
    let damaged = || RecordError::Value(key.to_owned());
    let (first, body) = value.split_first().ok_or_else(damaged)?;
    if *first != format {
        return Err(damaged());
    }
    postcard::from_bytes(body).map_err(|_| damaged())
}
