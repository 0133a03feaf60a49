use {
    goldcreststall_operators::{ChangeOutcome, OperatorErrorKind},
    std::process::ExitCode,
};

/// How a run ended. The discriminant is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded; a change is in force.
    Done = 0,
    /// The change has no effect, or the configuration is not valid.
    Rejected = 1,
    /// The arguments, the settings or the request have mistakes.
    Mistakes = 2,
    /// The command names something that does not exist.
    NotFound = 3,
    /// The change may or may not come into force.
    NotConfirmed = 4,
    /// No entry host could answer; a change was certainly not made.
    NotDone = 5,
    /// An entry host failed, or the output could not be written.
    Failed = 6,
}

impl From<OperatorErrorKind> for ExitStatus {
    fn from(kind: OperatorErrorKind) -> Self {
        match kind {
            OperatorErrorKind::InvalidRequest => Self::Mistakes,
            OperatorErrorKind::NotFound => Self::NotFound,
            OperatorErrorKind::AnswerLost
            | OperatorErrorKind::Draining
            | OperatorErrorKind::NotReady
            | OperatorErrorKind::StoreUnavailable
            | OperatorErrorKind::Unreachable => Self::NotDone,
            OperatorErrorKind::Incompatible
            | OperatorErrorKind::Internal
            | OperatorErrorKind::InvalidReply => Self::Failed,
        }
    }
}

impl From<&ChangeOutcome> for ExitStatus {
    fn from(outcome: &ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted { .. } => Self::Done,
            ChangeOutcome::Rejected { .. } => Self::Rejected,
            ChangeOutcome::NotConfirmed { .. } => Self::NotConfirmed,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
