use {
    goldcreststall_core::{
        collections::SortedMap,
        ids::{LogTime, RecordId},
        ledger::Rejection,
    },
    tokio::sync::oneshot,
};

/// Where the outcome of a proposed record is told.
pub(super) type OutcomeSender = oneshot::Sender<Result<(), Rejection>>;

/// The proposed records that were not read back from the log yet.
#[derive(Debug, Default)]
pub(super) struct ProposalTable {
    /// Records whose proposers no longer wait. They may still be accepted.
    abandoned: SortedMap<RecordId, ()>,
    waiters: SortedMap<RecordId, OutcomeSender>,
}

impl ProposalTable {
    /// Remembers who waits for a record.
    pub(super) fn wait(&mut self, id: RecordId, sender: OutcomeSender) {
        self.waiters.insert(id, sender);
    }

    /// Notes that nobody waits for a record any more.
    pub(super) fn abandon(&mut self, id: RecordId) {
        if self.waiters.remove(&id).is_some() {
            self.abandoned.insert(id, ());
        }
    }

    /// Tells the proposer of a record its outcome; false when it was proposed here and nobody takes it.
    pub(super) fn settle(&mut self, id: RecordId, result: Result<(), Rejection>) -> bool {
        match self.waiters.remove(&id) {
            Some(waiter) => waiter.send(result).is_ok(),
            None => self.abandoned.remove(&id).is_none(),
        }
    }

    /// Forgets abandoned records that were made before `oldest`.
    pub(super) fn forget_before(&mut self, oldest: LogTime) {
        let limit = RecordId(u128::from(oldest.0) << 80);
        self.abandoned.remove_below(&limit);
    }
}
