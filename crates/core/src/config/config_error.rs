use std::fmt;

/// One mistake in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigMistake {
    /// What is allowed instead.
    pub allowed: String,
    /// Path of the field, for example `pools[2].min_available`.
    pub field: String,
    /// The rejected value.
    pub value: String,
}

impl fmt::Display for ConfigMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: \"{}\" is not accepted; allowed: {}",
            self.field, self.value, self.allowed
        )
    }
}

/// Every mistake found in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// The mistakes in the order of the file; never empty.
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
