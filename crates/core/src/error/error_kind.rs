use std::fmt;

/// What the caller may conclude about the effect of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeClass {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl OutcomeClass {
    /// Returns the value of the `gcs-outcome` response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request failed or was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// The response of the target ended before it was complete.
    AnswerTruncated,
    /// The caller cancelled the request while it was queued.
    Cancelled,
    /// No connection to a target could be opened.
    ConnectFailed,
    /// The connection failed after a byte of the request may have left.
    ConnectionLost,
    /// The deadline passed after the request was sent.
    DeadlineAfterSend,
    /// The request cannot finish before its deadline, or its deadline passed while it was queued.
    DeadlineUnreachable,
    /// The entry host is shutting down.
    Draining,
    /// A header or the body of the request is malformed.
    InvalidRequest,
    /// The request key is already claimed.
    KeyClaimed,
    /// The request key is too old to tell whether it was used.
    KeyExpired,
    /// The request key was issued by another entry host or another incarnation of this one.
    KeyForeign,
    /// A non-idempotent request carries no request key.
    KeyMissing,
    /// No target of the service is usable.
    NoTarget,
    /// The entry host has no configuration yet.
    NotReady,
    /// The queue of the service is full.
    QueueFull,
    /// The organisation is over its quota.
    QuotaExceeded,
    /// The log service did not confirm a record that has to precede the request.
    StoreUnavailable,
    /// The log service did not confirm a record that may still take effect. The same request, with the same
    /// id, can be sent again.
    StoreUnconfirmed,
    /// The target reported that it did not run the request.
    TargetRefused,
    /// No durable job has the requested id.
    UnknownJob,
    /// No service has the requested name.
    UnknownService,
}

/// The response to a request that ended with an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// What the caller may conclude; sent as the `gcs-outcome` response header.
    pub class: OutcomeClass,
    /// Value of the `gcs-reason` response header.
    pub reason: &'static str,
    /// Whether sending the same request again can succeed.
    pub retryable: bool,
    /// HTTP status code.
    pub status: u16,
}

impl ErrorKind {
    /// All error kinds, for tests and documentation.
    pub const ALL: [Self; 21] = [
        Self::AnswerTruncated,
        Self::Cancelled,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::DeadlineAfterSend,
        Self::DeadlineUnreachable,
        Self::Draining,
        Self::InvalidRequest,
        Self::KeyClaimed,
        Self::KeyExpired,
        Self::KeyForeign,
        Self::KeyMissing,
        Self::NoTarget,
        Self::NotReady,
        Self::QueueFull,
        Self::QuotaExceeded,
        Self::StoreUnavailable,
        Self::StoreUnconfirmed,
        Self::TargetRefused,
        Self::UnknownJob,
        Self::UnknownService,
    ];

    /// Returns the response to this kind.
    pub const fn response(self) -> ErrorResponse {
        match self {
            Self::AnswerTruncated => unknown("answer-truncated", 502, false),
            Self::Cancelled => not_run("cancelled", 499, true),
            Self::ConnectFailed => not_run("connect-failed", 503, true),
            Self::ConnectionLost => unknown("connection-lost", 502, false),
            Self::DeadlineAfterSend => unknown("deadline-after-send", 504, false),
            Self::DeadlineUnreachable => not_run("deadline-unreachable", 503, true),
            Self::Draining => not_run("draining", 503, true),
            Self::InvalidRequest => not_run("invalid-request", 400, false),
            Self::KeyClaimed => unknown("key-claimed", 409, false),
            Self::KeyExpired => unknown("key-expired", 409, false),
            Self::KeyForeign => unknown("key-foreign", 409, false),
            Self::KeyMissing => not_run("key-missing", 400, false),
            Self::NoTarget => not_run("no-target", 503, true),
            Self::NotReady => not_run("not-ready", 503, true),
            Self::QueueFull => not_run("queue-full", 503, true),
            Self::QuotaExceeded => not_run("quota-exceeded", 429, true),
            Self::StoreUnavailable => not_run("store-unavailable", 503, true),
            Self::StoreUnconfirmed => unknown("store-unconfirmed", 504, true),
            Self::TargetRefused => not_run("target-refused", 503, true),
            Self::UnknownJob => not_run("unknown-job", 404, false),
            Self::UnknownService => not_run("unknown-service", 404, false),
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.response().reason)
    }
}

impl std::error::Error for ErrorKind {}

const fn not_run(reason: &'static str, status: u16, retryable: bool) -> ErrorResponse {
    ErrorResponse {
        class: OutcomeClass::NotRun,
        reason,
        retryable,
        status,
    }
}

const fn unknown(reason: &'static str, status: u16, retryable: bool) -> ErrorResponse {
    ErrorResponse {
        class: OutcomeClass::Unknown,
        reason,
        retryable,
        status,
    }
}
