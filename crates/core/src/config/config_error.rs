use {std::fmt, toml::Value};

/// Maximum number of characters quoted from a rejected value, so that a mistake fits on one line.
const MAX_QUOTED_CHARS: usize = 80;

/// One mistake in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigMistake {
    /// Description of the accepted values.
    pub allowed: String,
    /// Path of the field, for example `pools[2].min_available`, or a position such as `line 4`.
    pub field: String,
    /// The rejected value in TOML notation; texts are quoted and long ones truncated. Empty when a required value is
    /// missing.
    pub value: String,
}

impl ConfigMistake {
    /// Creates the mistake of a value that is not accepted.
    pub(super) fn for_value(field: String, value: &Value, allowed: &str) -> Self {
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

    /// Creates the mistake of a text that is not accepted.
    pub(super) fn for_text(field: String, text: &str, allowed: &str) -> Self {
        Self {
            allowed: allowed.to_owned(),
            field,
            value: quoted(text),
        }
    }

    /// Creates the mistake of a required field that is left out.
    pub(super) fn missing(field: String, allowed: &str) -> Self {
        Self {
            allowed: allowed.to_owned(),
            field,
            value: String::new(),
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", truncated(text))
}

/// Returns the start of a text, with line breaks and control characters escaped.
pub(super) fn truncated(text: &str) -> String {
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let ellipsis = if start.len() < text.len() { "…" } else { "" };
    format!("{}{ellipsis}", start.escape_debug())
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

/// All mistakes found in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// The mistakes in the order of validation; never empty.
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
