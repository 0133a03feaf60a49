use {
    crate::{
        OperatorError,
        generated::v1::{self as raw, ChangeVerdict},
        wire::{FieldValidator, config_mistake, raw_mistakes},
    },
    goldcreststall_core::{config::ConfigMistake, ledger::LogOffset},
};

/// Outcome of a change request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change is in the log and has taken effect.
    Accepted {
        /// Offset of its log entry.
        offset: LogOffset,
    },
    /// The change has not taken effect and never will.
    Rejected {
        /// The mistakes of a configuration that is not valid.
        mistakes: Vec<ConfigMistake>,
        /// Why it was rejected.
        reason: String,
    },
    /// The change may or may not take effect.
    NotConfirmed {
        /// Why it was not confirmed.
        reason: String,
    },
}

impl From<ChangeOutcome> for raw::ChangeReply {
    fn from(outcome: ChangeOutcome) -> Self {
        let reply = |verdict: ChangeVerdict, reason: String| Self {
            mistakes: Vec::new(),
            offset: 0,
            reason,
            verdict: verdict.into(),
        };
        match outcome {
            ChangeOutcome::Accepted { offset } => Self {
                offset: offset.0,
                ..reply(ChangeVerdict::Accepted, String::new())
            },
            ChangeOutcome::Rejected { mistakes, reason } => Self {
                mistakes: raw_mistakes(mistakes),
                ..reply(ChangeVerdict::Rejected, reason)
            },
            ChangeOutcome::NotConfirmed { reason } => reply(ChangeVerdict::NotConfirmed, reason),
        }
    }
}

impl TryFrom<raw::ChangeReply> for ChangeOutcome {
    type Error = OperatorError;

    fn try_from(raw: raw::ChangeReply) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let verdict = ChangeVerdict::try_from(raw.verdict).unwrap_or_default();
        let outcome = match verdict {
            ChangeVerdict::Accepted => Some(Self::Accepted {
                offset: LogOffset(raw.offset),
            }),
            ChangeVerdict::Rejected => Some(Self::Rejected {
                mistakes: raw.mistakes.into_iter().map(config_mistake).collect(),
                reason: raw.reason,
            }),
            ChangeVerdict::NotConfirmed => Some(Self::NotConfirmed { reason: raw.reason }),
            ChangeVerdict::Unspecified => None,
        };
        let allowed = "accepted, rejected, not confirmed";
        let outcome = validator.choice("verdict", raw.verdict, outcome, allowed);
        validator.finish_response(|| outcome)
    }
}
