//! Serializes job ids as text, because JSON numbers do not hold 128 bits.

use {
    goldcreststall_core::jobs::JobId,
    serde::{Deserialize, Deserializer, Serializer, de::Error},
};

pub(super) fn serialize<S: Serializer>(job: &JobId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<JobId, D::Error> {
    let text = String::deserialize(deserializer)?;
    JobId::try_from(text.as_str()).map_err(D::Error::custom)
}
