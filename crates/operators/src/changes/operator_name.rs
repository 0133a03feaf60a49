use {serde::Serialize, std::fmt};

/// Longest name of an operator, in bytes.
const MAX_OPERATOR_BYTES: usize = 64;

/// Name of an operator in the audit trail.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct OperatorName(Box<str>);

impl OperatorName {
    /// Accepted form of a name, as the error message states it.
    pub const RULE: &'static str =
        "1 to 64 of a-z, A-Z, 0-9, '-', '.', '_' and '@', starting with a letter or digit";

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for OperatorName {
    type Error = &'static str;

    /// Checks a name; the error is [`Self::RULE`].
    fn try_from(value: &str) -> Result<Self, Self::Error> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._@".contains(&byte);
        let valid_start = value
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric());
        if valid_start && value.len() <= MAX_OPERATOR_BYTES && value.bytes().all(allowed) {
            return Ok(Self(value.into()));
        }
        Err(Self::RULE)
    }
}

impl fmt::Display for OperatorName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&self.0)
    }
}
