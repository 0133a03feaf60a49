use goldcreststall_core::ids::NameError;

/// Protocol violation by a peer. The connection on which it occurred is closed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireError {
    /// A digest does not follow the previous one, so its changes cannot be applied.
    #[error("expected digest {expected}, received digest {found}")]
    DigestGap {
        /// Number of the next digest in sequence.
        expected: u64,
        /// Number of the received digest.
        found: u64,
    },
    /// The bytes are not a valid message.
    #[error("invalid message: {0}")]
    Malformed(String),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A number is outside its valid range.
    #[error("value {value} of field {field} is out of range")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
    },
    /// A valid message that is not allowed in the current state of the connection.
    #[error("unexpected {0} message")]
    Unexpected(&'static str),
    /// The peer uses a different version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnknownVersion(u32),
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed(error.to_string())
    }
}
