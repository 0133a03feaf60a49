use {
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{jobs::ItemName, runners::EndKind},
};

/// A run that is at work.
#[derive(Clone, Debug)]
pub(super) struct OpenRun {
    pub(super) host: String,
    pub(super) run: u32,
    pub(super) since: Millis,
}

/// What runners have seen of one work item.
#[derive(Clone, Debug)]
pub(super) struct ItemHistory {
    pub(super) name: ItemName,
    pub(super) open: Vec<OpenRun>,
    /// A run has ended as done.
    pub(super) done: bool,
    /// Such an end was acknowledged, at that time.
    pub(super) done_noted: Option<Millis>,
    /// Ends as failed.
    pub(super) failures: u32,
    /// Ends as failed that were acknowledged.
    pub(super) failures_noted: u32,
    /// When the last run ended, and whether an order ended it.
    pub(super) away: Option<(Millis, bool)>,
}

impl ItemHistory {
    pub(super) fn new(name: ItemName) -> Self {
        Self {
            name,
            open: Vec::new(),
            done: false,
            done_noted: None,
            failures: 0,
            failures_noted: 0,
            away: None,
        }
    }

    pub(super) fn note_end(&mut self, kind: EndKind) {
        self.done |= kind == EndKind::Done;
        self.failures += u32::from(kind == EndKind::Failed);
    }

    pub(super) fn note_acknowledged(&mut self, kind: EndKind, at: Millis) {
        match kind {
            EndKind::Done => self.done_noted = self.done_noted.or(Some(at)),
            EndKind::Failed => self.failures_noted += 1,
            _ => {}
        }
    }
}
