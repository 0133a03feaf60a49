use {
    goldcreststall_core::{
        collections::SortedMap,
        ids::{LogTime, RecordId},
        ledger::Rejection,
    },
    tokio::sync::oneshot,
};

/// Sends the outcome of a proposed record to its proposer.
pub(super) type OutcomeSender = oneshot::Sender<Result<(), Rejection>>;

/// Proposed records that have not been read back from the log yet.
#[derive(Debug, Default)]
pub(super) struct ProposalTable {
    /// Records whose proposers no longer wait. The log may still accept them.
    abandoned: SortedMap<RecordId, ()>,
    waiters: SortedMap<RecordId, OutcomeSender>,
}

impl ProposalTable {
    pub(super) fn add_waiter(&mut self, id: RecordId, sender: OutcomeSender) {
        self.waiters.insert(id, sender);
    }

    /// Records that the proposer no longer waits.
    pub(super) fn abandon(&mut self, id: RecordId) {
        if self.waiters.remove(&id).is_some() {
            self.abandoned.insert(id, ());
        }
    }

    /// Sends the outcome of a record to its proposer. Returns false if the record was proposed here and nobody received
    /// the outcome.
    pub(super) fn resolve(&mut self, id: RecordId, result: Result<(), Rejection>) -> bool {
        match self.waiters.remove(&id) {
            Some(waiter) => waiter.send(result).is_ok(),
            None => self.abandoned.remove(&id).is_none(),
        }
    }

    /// Removes abandoned records whose ids were created before `oldest`.
    pub(super) fn forget_before(&mut self, oldest: LogTime) {
        // The upper 48 bits of an id, a UUID of version 7, are its creation time in milliseconds.
        let limit = RecordId(u128::from(oldest.0) << 80);
        self.abandoned.remove_below(&limit);
    }
}
