use {
    super::LogTime,
    serde::{Deserialize, Serialize},
    std::fmt,
    uuid::Uuid,
};

/// Identity of a log record: a UUIDv7, which carries the time of its creation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordId(pub u128);

impl RecordId {
    /// Creates the id of a record made at `time`; the low 80 bits of `random` fill the bits that UUIDv7 leaves open.
    pub fn at(time: LogTime, random: u128) -> Self {
        let mut bytes = [0; 10];
        bytes.copy_from_slice(&random.to_be_bytes()[6..]);
        let uuid = uuid::Builder::from_unix_timestamp_millis(time.0, &bytes).into_uuid();
        Self(uuid.as_u128())
    }

    /// Returns the time that the id carries.
    pub fn time(self) -> LogTime {
        uuid_time(self.0)
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(formatter)
    }
}

/// Returns the timestamp in the top 48 bits of a UUIDv7, in milliseconds.
pub(crate) fn uuid_time(uuid: u128) -> LogTime {
    LogTime((uuid >> 80) as u64)
}
