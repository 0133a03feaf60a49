use tonic::Code;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorErrorKind {
    /// The connection failed or the timeout passed after the call was sent.
    AnswerLost,
    /// The entry host is shutting down.
    Draining,
    /// The entry host does not implement the call.
    Incompatible,
    /// The entry host failed to handle the call.
    Internal,
    /// The response of the entry host is malformed.
    InvalidReply,
    /// A field of the request is not valid.
    InvalidRequest,
    /// The request names something that does not exist.
    NotFound,
    /// The entry host has no state yet.
    NotReady,
    /// The log service does not accept changes at the moment.
    StoreUnavailable,
    /// No connection to the entry host could be opened.
    Unreachable,
}

/// How an error kind is reported, and what the client may conclude from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorMapping {
    /// gRPC code of the status.
    pub code: Code,
    /// Whether this attempt certainly made no change.
    pub not_done: bool,
    /// Reason in the error details of the status.
    pub reason: &'static str,
    /// Whether the same call may succeed on another entry host.
    pub retryable: bool,
}

impl OperatorErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 10] = [
        Self::AnswerLost,
        Self::Draining,
        Self::Incompatible,
        Self::Internal,
        Self::InvalidReply,
        Self::InvalidRequest,
        Self::NotFound,
        Self::NotReady,
        Self::StoreUnavailable,
        Self::Unreachable,
    ];

    /// Returns the code, the reason and the conclusions of this kind.
    pub const fn mapping(self) -> ErrorMapping {
        match self {
            Self::AnswerLost => mapping(Code::Unknown, "ANSWER_LOST", false, true),
            Self::Draining => mapping(Code::Unavailable, "DRAINING", true, true),
            Self::Incompatible => mapping(Code::Unimplemented, "INCOMPATIBLE", true, true),
            Self::Internal => mapping(Code::Internal, "INTERNAL", false, true),
            Self::InvalidReply => mapping(Code::DataLoss, "INVALID_REPLY", false, true),
            Self::InvalidRequest => mapping(Code::InvalidArgument, "INVALID_REQUEST", true, false),
            Self::NotFound => mapping(Code::NotFound, "NOT_FOUND", true, false),
            Self::NotReady => mapping(Code::Unavailable, "NOT_READY", true, true),
            Self::StoreUnavailable => mapping(Code::Unavailable, "STORE_UNAVAILABLE", true, true),
            Self::Unreachable => mapping(Code::Unavailable, "UNREACHABLE", true, true),
        }
    }
}

const fn mapping(
    code: Code,
    reason: &'static str,
    not_done: bool,
    retryable: bool,
) -> ErrorMapping {
    ErrorMapping {
        code,
        not_done,
        reason,
        retryable,
    }
}
