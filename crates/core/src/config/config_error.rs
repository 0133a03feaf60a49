use {std::fmt, toml::Value};

/// Longest part of a rejected value that is quoted, in characters, so that a mistake stays one line.
const MAX_QUOTED_CHARS: usize = 80;

/// One mistake in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigMistake {
    /// What is allowed instead.
    pub allowed: String,
    /// Path of the field, for example `pools[2].min_available`, or a place such as `line 4`.
    pub field: String,
    /// The rejected value as written in TOML; texts are quoted and long values are cut. Empty when a required
    /// value is missing.
    pub value: String,
}

impl ConfigMistake {
    /// Reports a value that is not accepted.
    pub(super) fn value(field: String, value: &Value, allowed: &str) -> Self {
        let value = match value {
            Value::String(text) => quoted(text),
            Value::Array(_) => "a list".to_owned(),
            Value::Table(_) => "a table".to_owned(),
            other => other.to_string(),
        };
        Self {
            allowed: allowed.to_owned(),
            field,
            value,
        }
    }

    /// Reports a text that is not accepted.
    pub(super) fn text(field: String, text: &str, allowed: &str) -> Self {
        Self {
            allowed: allowed.to_owned(),
            field,
            value: quoted(text),
        }
    }

    /// Reports a required field that is left out.
    pub(super) fn missing(field: String, allowed: &str) -> Self {
        Self {
            allowed: allowed.to_owned(),
            field,
            value: String::new(),
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", short(text))
}

/// Returns the start of a text without line breaks and control characters.
pub(super) fn short(text: &str) -> String {
    let short: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let mark = if short.len() < text.len() { "…" } else { "" };
    format!("{}{mark}", short.escape_debug())
}

impl fmt::Display for ConfigMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            allowed,
            field,
            value,
        } = self;
        match value.as_str() {
            "" => write!(formatter, "{field}: a value is missing; allowed: {allowed}"),
            value => write!(
                formatter,
                "{field}: {value} is not accepted; allowed: {allowed}"
            ),
        }
    }
}

/// Every mistake found in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// The mistakes in the order of the check; never empty.
    pub mistakes: Vec<ConfigMistake>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.mistakes.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            mistake.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
