use {
    super::Rejection,
    crate::{
        collections::SortedMap,
        ids::{LogTime, Millis, RecordId},
    },
    serde::{Deserialize, Serialize},
};

/// How long the ids of records are remembered.
pub const DEDUP_WINDOW: Millis = Millis(15 * 60 * 1000);
/// How far the clock of an author may run ahead of the log.
pub const ID_MAX_LEAD: Millis = Millis(60 * 1000);

/// The ids of recent records, by which a record that was sent twice is recognised.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct RecentIds {
    ids: SortedMap<RecordId, ()>,
}

impl RecentIds {
    /// Remembers `id`, or tells why its record must be ignored.
    pub(super) fn admit(&mut self, now: LogTime, id: RecordId) -> Result<(), Rejection> {
        let oldest = now - DEDUP_WINDOW;
        self.ids.remove_below(&RecordId(u128::from(oldest.0) << 80));
        if id.time() < oldest {
            return Err(Rejection::IdTooOld);
        }
        if id.time() > now + ID_MAX_LEAD {
            return Err(Rejection::IdTooNew);
        }
        if self.ids.contains(&id) {
            return Err(Rejection::Duplicate);
        }
        self.ids.insert(id, ());
        Ok(())
    }
}
