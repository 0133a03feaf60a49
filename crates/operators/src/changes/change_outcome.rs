use {
    crate::{
        OperatorError,
        generated::v1::{self as raw, ChangeVerdict},
        wire::{FieldCheck, config_mistake, raw_mistakes},
    },
    goldcreststall_core::{config::ConfigMistake, ledger::LogOffset},
};

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change is in the log and in force.
    Accepted {
        /// Place of its log entry.
        offset: LogOffset,
    },
    /// The change has no effect and never will have one.
    Rejected {
        /// The mistakes of a configuration that is not valid.
        mistakes: Vec<ConfigMistake>,
        /// Why it was rejected.
        reason: String,
    },
    /// The change may or may not come into force.
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
        let mut check = FieldCheck::default();
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
        let outcome = check.choice("verdict", raw.verdict, outcome, allowed);
        check.reply(|| outcome)
    }
}
