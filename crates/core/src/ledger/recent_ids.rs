use {
    super::{LogOffset, Rejection},
    crate::{
        collections::SortedMap,
        ids::{LogTime, Millis, RecordId},
    },
    serde::{Deserialize, Serialize},
};

/// How long the ids of records are remembered.
pub const DEDUP_WINDOW: Millis = Millis(15 * 60 * 1000);
/// How far the clock of an author may run ahead of the log.
pub const ID_MAX_CLOCK_SKEW: Millis = Millis(60 * 1000);

/// The ids of recent records, by which a record that was sent twice is recognised.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct RecentIds {
    ids: SortedMap<RecordId, RecordOutcome>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordOutcome {
    /// Place of the entry that carried the first copy of the record.
    pub offset: LogOffset,
    /// Accepted, or why the record was ignored.
    pub result: Result<(), Rejection>,
}

impl RecentIds {
    /// Checks `id`, or tells why its record must be ignored.
    pub(super) fn admit(&mut self, now: LogTime, id: RecordId) -> Result<(), Rejection> {
        let oldest = now - DEDUP_WINDOW;
        self.ids.remove_below(&RecordId(u128::from(oldest.0) << 80));
        if id.time() < oldest {
            return Err(Rejection::IdTooOld);
        }
        if id.time() > now + ID_MAX_CLOCK_SKEW {
            return Err(Rejection::IdTooNew);
        }
        if self.ids.contains(&id) {
            return Err(Rejection::Duplicate);
        }
        Ok(())
    }

    /// Remembers the outcome of a record that was admitted.
    pub(super) fn remember(&mut self, id: RecordId, outcome: RecordOutcome) {
        self.ids.insert(id, outcome);
    }

    /// Returns the outcome of a recent record.
    pub(super) fn outcome(&self, id: RecordId) -> Option<RecordOutcome> {
        self.ids.get(&id).copied()
    }
}
