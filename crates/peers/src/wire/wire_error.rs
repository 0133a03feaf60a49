use goldcreststall_core::ids::NameError;

/// Bytes from a peer that break the protocol. The connection they came on is closed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireError {
    /// A digest does not follow the one before it, so that its changes cannot be applied.
    #[error("digest {found} arrived where digest {expected} was due")]
    DigestGap {
        /// Number of the digest that was due.
        expected: u64,
        /// Number of the digest that arrived.
        found: u64,
    },
    /// The bytes are not a valid message.
    #[error("the bytes are not a valid message: {0}")]
    Malformed(String),
    /// A name does not follow the rules.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A number is out of its range.
    #[error("field {field} has the value {value}, which is out of range")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
    /// A valid message that is not allowed at this point.
    #[error("a {0} message is not allowed here")]
    Unexpected(&'static str),
    /// The peer speaks another version of the protocol.
    #[error("protocol version {0} is not known")]
    UnknownVersion(u32),
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed(error.to_string())
    }
}
