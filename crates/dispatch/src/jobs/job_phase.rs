use serde::{Deserialize, Serialize};

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Accepted; no work item has started.
    #[default]
    Queued,
    /// A work item has started.
    Running,
    /// All work items are done.
    Completed,
    /// A work item has used up its attempts.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl JobPhase {
    /// Returns whether no work item of the job starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
