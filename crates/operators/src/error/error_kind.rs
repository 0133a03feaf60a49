use tonic::Code;

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorErrorKind {
    /// The connection failed or the time ran out after the call was sent.
    AnswerLost,
    /// The entry host is shutting down.
    Draining,
    /// The entry host does not know the call.
    Incompatible,
    /// The entry host failed to handle the call.
    Internal,
    /// The answer of the entry host is malformed.
    InvalidReply,
    /// A field of the request is not valid.
    InvalidRequest,
    /// The request names something that does not exist.
    NotFound,
    /// The entry host has no state yet.
    NotReady,
    /// The log service accepts no changes at the moment.
    StoreUnavailable,
    /// No connection to the entry host could be opened.
    Unreachable,
}

/// How an error kind is reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorMapping {
    /// gRPC code of the status.
    pub code: Code,
    /// Whether this attempt certainly made no change.
    pub not_done: bool,
    /// Reason in the error details of the status.
    pub reason: &'static str,
    /// Whether another entry host may answer the same call.
    pub retryable: bool,
}

impl OperatorErrorKind {
    /// Every kind.
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

    /// Returns how this kind is reported.
    pub const fn row(self) -> ErrorMapping {
        match self {
            Self::AnswerLost => row(Code::Unknown, "ANSWER_LOST", false, true),
            Self::Draining => row(Code::Unavailable, "DRAINING", true, true),
            Self::Incompatible => row(Code::Unimplemented, "INCOMPATIBLE", true, true),
            Self::Internal => row(Code::Internal, "INTERNAL", false, true),
            Self::InvalidReply => row(Code::DataLoss, "INVALID_REPLY", false, true),
            Self::InvalidRequest => row(Code::InvalidArgument, "INVALID_REQUEST", true, false),
            Self::NotFound => row(Code::NotFound, "NOT_FOUND", true, false),
            Self::NotReady => row(Code::Unavailable, "NOT_READY", true, true),
            Self::StoreUnavailable => row(Code::Unavailable, "STORE_UNAVAILABLE", true, true),
            Self::Unreachable => row(Code::Unavailable, "UNREACHABLE", true, true),
        }
    }
}

const fn row(code: Code, reason: &'static str, not_done: bool, retryable: bool) -> ErrorMapping {
    ErrorMapping {
        code,
        not_done,
        reason,
        retryable,
    }
}
