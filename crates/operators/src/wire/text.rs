//! The text form of ids in JSON, and the conversion of configuration mistakes.

use {
    crate::generated::v1 as raw,
    goldcreststall_core::{config::ConfigMistake, ids::RecordId},
    serde::Serializer,
};

/// Serializes an id as a UUID, because a number of 128 bits is lost on many JSON parsers.
pub(crate) fn id_text<S: Serializer>(id: &RecordId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

pub(crate) fn raw_mistake(mistake: ConfigMistake) -> raw::ConfigMistake {
    raw::ConfigMistake {
        allowed: mistake.allowed,
        field: mistake.field,
        value: mistake.value,
    }
}

pub(crate) fn config_mistake(raw: raw::ConfigMistake) -> ConfigMistake {
    ConfigMistake {
        allowed: raw.allowed,
        field: raw.field,
        value: raw.value,
    }
}
