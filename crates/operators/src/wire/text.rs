//! Ids as text in JSON, and the conversion of configuration mistakes.

use {
    crate::generated::v1 as raw,
    goldcreststall_core::{config::ConfigMistake, ids::RecordId},
    serde::Serializer,
};

/// Serializes an id as a UUID, because many JSON parsers do not keep a number of 128 bits.
pub(crate) fn id_text<S: Serializer>(id: &RecordId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

/// Maximum number of mistakes in a response. When a document consists of nothing but mistakes, more would not fit the
/// 4 MiB that clients accept by default.
const MAX_MISTAKES: usize = 1_000;

/// Converts the mistakes of a configuration. When some are left out, a further row at the end states how many.
pub(crate) fn raw_mistakes(mistakes: Vec<ConfigMistake>) -> Vec<raw::ConfigMistake> {
    let omitted = mistakes.len().saturating_sub(MAX_MISTAKES);
    let sent = mistakes.into_iter().take(MAX_MISTAKES);
    let mut rows: Vec<raw::ConfigMistake> = sent.map(raw_mistake).collect();
    if omitted > 0 {
        rows.push(raw::ConfigMistake {
            allowed: "a file without the mistakes above".to_owned(),
            field: "file".to_owned(),
            value: format!("a file with {omitted} further mistakes"),
        });
    }
    rows
}

fn raw_mistake(mistake: ConfigMistake) -> raw::ConfigMistake {
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
