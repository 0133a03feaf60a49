use {
    crate::ids::{HostName, Incarnation, LogTime, RecordId},
    serde::{Deserialize, Serialize},
    std::fmt,
    uuid::Uuid,
};

/// Identity of a job: a UUIDv7 made by whoever submits it, so that a repeated submission is recognised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u128);

impl JobId {
    /// Builds the id of a job made at `time`; `random` fills the remaining bits.
    pub fn at(time: LogTime, random: u128) -> Self {
        Self(RecordId::at(time, random).0)
    }

    /// Returns the time carried in the id.
    pub fn time(self) -> LogTime {
        RecordId(self.0).time()
    }
}

/// Text that is no job id.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("\"{value}\" is not a job id: allowed is a UUIDv7")]
pub struct JobIdError {
    /// The rejected text.
    pub value: String,
}

impl TryFrom<&str> for JobId {
    type Error = JobIdError;

    fn try_from(value: &str) -> Result<Self, JobIdError> {
        let uuid = Uuid::try_parse(value).ok();
        let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
        uuid.map(|uuid| Self(uuid.as_u128()))
            .ok_or_else(|| JobIdError {
                value: value.to_owned(),
            })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        RecordId(self.0).fmt(formatter)
    }
}

/// Counts the grants of the log over all jobs. Each grant has its own number, and later grants have
/// larger ones, so that a worker can refuse an old grant by number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct GrantNumber(pub u64);

impl fmt::Display for GrantNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Counts the changes of one job. Renewals do not count, because they do not change what may follow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobVersion(pub u32);

/// One run of a worker.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkerId {
    /// Name of the worker.
    pub host: HostName,
    /// The run that is meant.
    pub incarnation: Incarnation,
}

impl fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.host, self.incarnation)
    }
}
