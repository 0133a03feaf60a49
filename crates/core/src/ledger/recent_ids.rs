use {
    super::{LogOffset, Rejection},
    crate::{
        collections::SortedMap,
        ids::{LogTime, Millis, RecordId},
    },
    serde::{Deserialize, Serialize},
};

/// How long the ids of records are kept to recognise duplicates.
pub const DEDUP_WINDOW: Millis = Millis(15 * 60 * 1000);
/// Maximum time by which the clock of an author may run ahead of the log.
pub const ID_MAX_CLOCK_SKEW: Millis = Millis(60 * 1000);

/// The ids and outcomes of recent records, by which a record that was sent twice is recognised.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct RecentIds {
    ids: SortedMap<RecordId, RecordOutcome>,
}

/// The result of a record and its position in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordOutcome {
    /// Offset of the entry that carried the first copy of the record.
    pub offset: LogOffset,
    /// Accepted, or why the record was ignored.
    pub result: Result<(), Rejection>,
}

impl RecentIds {
    /// Checks whether a record with `id` may be applied at `now`, and removes expired ids.
    ///
    /// # Errors
    /// `IdTooOld`, `IdTooNew` or `Duplicate`.
    pub(super) fn check(&mut self, now: LogTime, id: RecordId) -> Result<(), Rejection> {
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

    /// Stores the outcome of a record that passed [`RecentIds::check`].
    pub(super) fn insert(&mut self, id: RecordId, outcome: RecordOutcome) {
        self.ids.insert(id, outcome);
    }

    /// Returns the outcome of a recent record.
    pub(super) fn outcome(&self, id: RecordId) -> Option<RecordOutcome> {
        self.ids.get(&id).copied()
    }
}
