use {
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{jobs::ItemName, runners::EndKind},
};

/// A run that has started and not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenRun {
    pub(super) host: String,
    pub(super) run: u32,
    pub(super) since: Millis,
    /// A late command started it at an instance that the owner could not know yet.
    pub(super) misdirected: bool,
}

/// Runs of one work item, as the runners observed them.
#[derive(Clone, Debug)]
pub(super) struct ItemHistory {
    pub(super) name: ItemName,
    pub(super) open: Vec<OpenRun>,
    /// Host and number of the runs that no owner could prevent.
    pub(super) misdirected: Vec<(String, u32)>,
    /// Whether a run has ended as done.
    pub(super) done: bool,
    /// When an end as done was first acknowledged.
    pub(super) done_acknowledged: Option<Millis>,
    /// Number of runs that ended as failed.
    pub(super) failures: u32,
    /// Number of acknowledged ends as failed.
    pub(super) failures_acknowledged: u32,
    /// When the last run ended, and whether a command ended it; reset when a run starts.
    pub(super) away_since: Option<(Millis, bool)>,
}

impl ItemHistory {
    pub(super) fn new(name: ItemName) -> Self {
        Self {
            name,
            open: Vec::new(),
            misdirected: Vec::new(),
            done: false,
            done_acknowledged: None,
            failures: 0,
            failures_acknowledged: 0,
            away_since: None,
        }
    }

    pub(super) fn record_end(&mut self, kind: EndKind) {
        self.done |= kind == EndKind::Done;
        self.failures += u32::from(kind == EndKind::Failed);
    }

    pub(super) fn record_acknowledged(&mut self, kind: EndKind, at: Millis) {
        match kind {
            EndKind::Done => self.done_acknowledged = self.done_acknowledged.or(Some(at)),
            EndKind::Failed => self.failures_acknowledged += 1,
            _ => {}
        }
    }
}
