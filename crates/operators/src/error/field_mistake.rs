use std::fmt;

/// Longest part of a rejected value that is quoted, in characters. Error details are sent in an HTTP/2 header, whose
/// size is limited by peers to as little as 16 KiB.
const MAX_QUOTED_CHARS: usize = 80;

/// A mistake in one field of a request or a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldMistake {
    /// What is wrong with the value, and which values are allowed.
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
    let shortened: String = value.chars().take(MAX_QUOTED_CHARS).collect();
    let ellipsis = if shortened.len() < value.len() {
        "…"
    } else {
        ""
    };
    format!("\"{}{ellipsis}\"", shortened.escape_debug())
}
