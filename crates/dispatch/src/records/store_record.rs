use {
    crate::{
        jobs::{JobId, JobPhase, JobSpec},
        routes::RouteRule,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// Format of the values, stored as their first byte; a value with another first byte is rejected.
const FORMAT: u8 = 1;
/// Format of submissions with the time of day of their acceptance; submissions in [`FORMAT`] lack it.
const TIMED_FORMAT: u8 = 2;

/// Format of submissions with an organisation, which is stored after the fields of [`TIMED_FORMAT`].
const ORGANISATION_FORMAT: u8 = 3;

/// First key that sorts after those of all texts.
pub const FIRST_KEY_AFTER_TEXTS: &str = "b";

/// Error in decoding a record.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The kind of the key is unknown, or its id or number is malformed.
    #[error("unknown key {0:?}")]
    Key(String),
    /// The value has another format or is damaged.
    #[error("the value of {0:?} cannot be read")]
    Value(String),
}

/// Stored submission of a job. Its text is stored under a key of its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// Configuration of the queue at the time of the submission.
    pub queue: RouteRule,
    /// Description by the caller.
    pub job: JobSpec,
    /// Time of day at which an entry host accepted it, in Unix milliseconds; 0 when unknown.
    pub accepted_ms: u64,
    /// Organisation whose key the call carried. It is encoded beside the submission, because the encoding without an
    /// organisation is that of earlier versions.
    #[serde(skip)]
    pub organisation: Option<String>,
}

/// Submission in [`FORMAT`], as stored by earlier versions.
#[derive(Deserialize)]
struct UntimedSubmission {
    queue: RouteRule,
    job: JobSpec,
}

/// Stored progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// State of the job.
    pub phase: JobPhase,
    /// A work item has started.
    pub started: bool,
    /// Indexes of the work items that are done, ascending.
    pub done: Vec<u32>,
    /// Indexes of the work items with failed runs, and the numbers of these runs.
    pub failures: Vec<(u32, Vec<u32>)>,
}

impl JobProgress {
    /// Returns whether the progress is about work items, which must exist to take it.
    pub fn needs_items(&self) -> bool {
        self.started || !self.done.is_empty() || !self.failures.is_empty()
    }
}

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Hosts that need no further command, sorted: the platform has accepted or finally refused their maintenance.
    pub started: Vec<String>,
    /// The wave has ended.
    pub completed: bool,
}

/// Identifies the restart of a runner that an owner has seen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RestartId {
    /// Fencing token of the owner's term.
    pub token: u64,
    /// Number of the instance within the term.
    pub instance: u32,
}

impl RestartId {
    fn key(&self) -> String {
        format!("r/{}-{}", self.token, self.instance)
    }

    fn fenced_key(&self) -> String {
        format!("f/{}-{}", self.token, self.instance)
    }

    fn parse(name: &str) -> Option<Self> {
        let (token, instance) = name.split_once('-')?;
        Some(Self {
            token: token.parse().ok()?,
            instance: instance.parse().ok()?,
        })
    }
}

/// A runner that has restarted under its id. Calls for the ended instance may have granted it the longest lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerRestart {
    /// Id of the runner.
    pub runner: String,
    /// Its service.
    pub service: String,
    /// Start of the new instance in Unix milliseconds.
    pub started_ms: u64,
}

/// A record of the owner's topic. Each replaces the earlier record under its key.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRecord {
    /// The submission of a job; its text is stored as [`Self::Text`], unless an earlier version has stored it here.
    Submission(JobId, JobSubmission),
    /// The text of a job that is passed to runners.
    Text(JobId, String),
    /// The progress of a job.
    Progress(JobId, JobProgress),
    /// The final phase of a job. Its submission is removed: a later owner needs only its id and phase.
    Ended(JobId, JobPhase),
    /// The progress of a wave.
    Wave(u64, WaveProgress),
    /// The job was removed.
    Forgotten(JobId),
    /// A runner has restarted under its id.
    Restarted(RestartId, RunnerRestart),
    /// The new instance is fenced: calls for the ended one have no effect on it any more. Stored under a key of its own,
    /// which earlier versions skip: they wait longer.
    RestartFenced(RestartId),
    /// The leases have lapsed that calls for the ended instance may have granted.
    RestartSettled(RestartId),
    /// The term with this token has started: runners may hold the longest lease.
    TermStarted(u64),
    /// The leases have lapsed that calls of earlier owners may have granted before the term.
    TermSettled(u64),
}

impl StoreRecord {
    /// Returns the keys and values to append; an empty value deletes the key.
    pub fn encode(&self) -> Vec<(String, Vec<u8>)> {
        match self {
            Self::Submission(id, submission) => {
                let JobSubmission {
                    queue,
                    job,
                    accepted_ms,
                    organisation,
                } = submission.clone();
                let JobSpec { spec: text, .. } = job;
                let job = JobSpec {
                    spec: String::new(),
                    ..job
                };
                let submission = JobSubmission {
                    queue,
                    job,
                    accepted_ms,
                    organisation: None,
                };
                let value = match organisation {
                    None => encode(TIMED_FORMAT, &submission),
                    Some(name) => encode(ORGANISATION_FORMAT, &(submission, name)),
                };
                let mut rows = Self::Text(*id, text).encode();
                rows.push((format!("j/{id}"), value));
                rows
            }
            Self::Text(id, text) => vec![(format!("a/{id}"), encode(FORMAT, text))],
            Self::Progress(id, progress) => vec![(format!("p/{id}"), encode(FORMAT, progress))],
            Self::Ended(id, phase) => {
                let progress = JobProgress {
                    phase: *phase,
                    ..JobProgress::default()
                };
                vec![
                    (format!("p/{id}"), encode(FORMAT, &progress)),
                    (format!("j/{id}"), Vec::new()),
                    (format!("a/{id}"), Vec::new()),
                ]
            }
            Self::Wave(number, progress) => vec![(format!("w/{number}"), encode(FORMAT, progress))],
            Self::Forgotten(id) => {
                vec![
                    (format!("a/{id}"), Vec::new()),
                    (format!("j/{id}"), Vec::new()),
                    (format!("p/{id}"), Vec::new()),
                ]
            }
            Self::Restarted(id, restart) => vec![(id.key(), encode(FORMAT, restart))],
            Self::RestartFenced(id) => vec![(id.fenced_key(), encode(FORMAT, &()))],
            Self::RestartSettled(id) => {
                vec![(id.key(), Vec::new()), (id.fenced_key(), Vec::new())]
            }
            Self::TermStarted(token) => vec![(format!("t/{token}"), encode(FORMAT, &()))],
            Self::TermSettled(token) => vec![(format!("t/{token}"), Vec::new())],
        }
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    /// When the key is of no known kind, or the value is damaged or in a format that this version cannot read.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, RecordError> {
        let unknown = || RecordError::Key(key.to_owned());
        let (kind, name) = key.split_once('/').ok_or_else(unknown)?;
        match kind {
            "a" => {
                let id = JobId::try_from(name).map_err(|_| unknown())?;
                Ok(Self::Text(id, decode(key, value, FORMAT)?))
            }
            "f" => {
                let id = RestartId::parse(name).ok_or_else(unknown)?;
                let () = decode(key, value, FORMAT)?;
                Ok(Self::RestartFenced(id))
            }
            "j" => {
                let id = JobId::try_from(name).map_err(|_| unknown())?;
                Ok(Self::Submission(id, decode_submission(key, value)?))
            }
            "p" => {
                let id = JobId::try_from(name).map_err(|_| unknown())?;
                Ok(Self::Progress(id, decode(key, value, FORMAT)?))
            }
            "r" => {
                let id = RestartId::parse(name).ok_or_else(unknown)?;
                Ok(Self::Restarted(id, decode(key, value, FORMAT)?))
            }
            "t" => {
                let token = name.parse().map_err(|_| unknown())?;
                let () = decode(key, value, FORMAT)?;
                Ok(Self::TermStarted(token))
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
    match value.first() {
        Some(&TIMED_FORMAT) => return decode(key, value, TIMED_FORMAT),
        Some(&ORGANISATION_FORMAT) => {
            let (submission, organisation): (JobSubmission, String) =
                decode(key, value, ORGANISATION_FORMAT)?;
            return Ok(JobSubmission {
                organisation: Some(organisation),
                ..submission
            });
        }
        _ => {}
    }
    let UntimedSubmission { queue, job } = decode(key, value, FORMAT)?;
    Ok(JobSubmission {
        queue,
        job,
        accepted_ms: 0,
        organisation: None,
    })
}

fn encode(format: u8, value: &impl Serialize) -> Vec<u8> {
    let bytes = vec![format];
    // The types contain no maps and no sequences of unknown length, so that serialization cannot fail.
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
