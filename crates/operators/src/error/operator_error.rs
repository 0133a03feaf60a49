use {
    super::{FieldMistake, OperatorErrorKind},
    std::fmt,
};

/// Why a call failed, with every mistake of its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorError {
    /// Decides the gRPC code.
    pub kind: OperatorErrorKind,
    /// One sentence for the operator.
    pub message: String,
    /// The mistakes of an invalid request or response.
    pub mistakes: Vec<FieldMistake>,
}

impl OperatorError {
    /// Creates an error without field mistakes.
    pub fn new(kind: OperatorErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            mistakes: Vec::new(),
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)?;
        for mistake in &self.mistakes {
            write!(formatter, "\n{mistake}")?;
        }
        Ok(())
    }
}

impl std::error::Error for OperatorError {}
