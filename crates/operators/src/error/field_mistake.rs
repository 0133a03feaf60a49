use std::fmt;

/// Longest part of a rejected value that is quoted, in characters. Error details travel in an HTTP/2 header,
/// whose size peers limit to as little as 16 KiB.
const MAX_QUOTED_CHARS: usize = 80;

/// One mistake in the fields of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldMistake {
    /// What is wrong with the value, and what is allowed.
    pub description: String,
    /// Path of the field, for example `head.operator`.
    pub field: String,
}

impl FieldMistake {
    /// Reports that `value` is not accepted. An empty value is reported as a missing one.
    pub fn new(field: &str, value: &str, allowed: &str) -> Self {
        let found = match value {
            "" => "a value is missing".to_owned(),
            value => format!("{} is not accepted", quote(value)),
        };
        Self {
            description: format!("{found}; allowed: {allowed}"),
            field: field.to_owned(),
        }
    }
}

impl fmt::Display for FieldMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.description)
    }
}

fn quote(value: &str) -> String {
    let short: String = value.chars().take(MAX_QUOTED_CHARS).collect();
    let mark = if short.len() < value.len() { "…" } else { "" };
    format!("\"{}{mark}\"", short.escape_debug())
}
