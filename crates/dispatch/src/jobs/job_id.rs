use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

const ID_DIGITS: usize = 16;
const HEX_RADIX: u32 = 16;

/// Error of a job id that is not 16 lower-case hexadecimal digits, or of a name that does not have the expected parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a job id has 16 hexadecimal digits")]
pub struct JobIdError;

/// Id of a job, chosen by the caller; written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl TryFrom<&str> for JobId {
    type Error = JobIdError;

    fn try_from(text: &str) -> Result<Self, JobIdError> {
        let digits = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != ID_DIGITS || !digits {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, HEX_RADIX)
            .map(Self)
            .map_err(|_| JobIdError)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Name of a work item on the wire and in logs: `ID.K.STEP.INDEX`, where K is the occurrence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ItemName {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the work item within the step, from 0.
    pub index: u32,
}

impl fmt::Display for ItemName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

/// Name of a step of one occurrence of a job on the wire and in logs: `ID.K.STEP`, where K is the occurrence.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepName {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl fmt::Display for StepName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}")
    }
}

impl TryFrom<&str> for ItemName {
    type Error = JobIdError;

    fn try_from(text: &str) -> Result<Self, JobIdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(JobIdError)?;
        let mut number = || {
            let part = parts.next().ok_or(JobIdError)?;
            part.parse::<u32>().map_err(|_| JobIdError)
        };
        let name = Self {
            job: JobId::try_from(job)?,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(JobIdError),
        }
    }
}
