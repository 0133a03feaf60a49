use serde::{Deserialize, Serialize};

/// Where a job stands, as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobPhase {
    /// Accepted; no work item has started.
    #[default]
    Queued,
    /// A work item has started.
    Running,
    /// All work items have ended as done.
    Completed,
    /// A work item has failed as often as it may.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Returns whether nothing of the job starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
