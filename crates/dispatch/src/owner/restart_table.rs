use {
    super::{OwnerState, journal_queue::StoredEffect},
    crate::{
        records::{RestartId, RunnerRestart, StoreRecord},
        runners::{MAX_CALL_DELAY, RunnerKey, lapse_delay},
    },
    goldcreststall_core::ids::LocalTime,
};

/// A runner that has restarted under its id, and whose work may have a longer lease than an owner grants.
#[derive(Clone, Debug, Eq, PartialEq)]
struct OpenRestart {
    id: RestartId,
    restart: RunnerRestart,
    /// When the longest lease has certainly lapsed that a call for the ended instance may have granted; none while such a
    /// call may still have an effect.
    lapse: Option<LocalTime>,
}

/// Restarts of runners that are stored for the next owner, which cannot know of them otherwise: when it cannot reach such a
/// runner, it has to wait for its longest lease.
#[derive(Debug, Default)]
pub(super) struct RestartTable {
    open: Vec<OpenRestart>,
}

impl RestartTable {
    /// Removes the restarts whose leases have lapsed, and returns them.
    fn take_lapsed(&mut self, now: LocalTime) -> Vec<RestartId> {
        let (lapsed, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| open.lapse.is_some_and(|lapse| lapse < now));
        self.open = open;
        lapsed
            .into_iter()
            .map(|open: OpenRestart| open.id)
            .collect()
    }
}

impl OwnerState {
    /// Stores that `runner` has restarted under its id and may take calls for the ended instance until it is fenced. It is
    /// fenced, and gets work, after that is stored.
    pub(super) fn store_restart(&mut self, runner: RunnerKey) {
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        state.is_restart_unstored = true;
        let restart = RunnerRestart {
            runner: state.report.id.clone(),
            service: state.report.service.clone(),
            started_ms: state.report.started_ms,
        };
        let id = RestartId {
            token: self.token,
            instance: runner.0,
        };
        let record = StoreRecord::Restarted(id, restart.clone());
        self.restarts.open.push(OpenRestart {
            id,
            restart,
            lapse: None,
        });
        self.journal.store_restart(record);
        self.journal.on_stored(StoredEffect::RestartStored(runner));
    }

    /// Records that the runner is fenced: no call for an ended instance has an effect there after `now`.
    pub(super) fn record_fenced_restart(&mut self, runner_id: &str, now: LocalTime) {
        let lapse = now + lapse_delay(self.runners.max_lease());
        for open in &mut self.restarts.open {
            if open.restart.runner == runner_id {
                open.lapse = Some(open.lapse.map_or(lapse, |earlier| earlier.max(lapse)));
                self.journal
                    .store_restart(StoreRecord::RestartFenced(open.id));
            }
        }
    }

    /// Recovers a restart that an earlier owner has stored. Until the runner is fenced, calls of that owner may be executed
    /// there, in its last moment or later.
    pub(super) fn restore_restart(&mut self, id: RestartId, restart: RunnerRestart) {
        let longest = lapse_delay(self.runners.max_lease());
        self.restarts.open.push(OpenRestart {
            id,
            restart,
            lapse: Some(self.started + MAX_CALL_DELAY + longest),
        });
    }

    /// Recovers that an earlier owner has fenced the runner of a restart: the lease of its work lapses as from that owner's
    /// last moment.
    pub(super) fn restore_fenced_restart(&mut self, id: RestartId) {
        let lapse = self.started + lapse_delay(self.runners.max_lease());
        let mut open = self.restarts.open.iter_mut();
        if let Some(open) = open.find(|open| open.id == id) {
            open.lapse = Some(lapse);
        }
    }

    /// Removes the stored restarts whose leases have certainly lapsed. A runner that is not known any more has not been listed
    /// for longer than its leases.
    pub(super) fn settle_restarts(&mut self, now: LocalTime) {
        for open in &mut self.restarts.open {
            if self.runners.find(&open.restart.runner).is_none() {
                open.lapse.get_or_insert(now);
            }
        }
        for id in self.restarts.take_lapsed(now) {
            self.journal.store_restart(StoreRecord::RestartSettled(id));
        }
    }

    /// Returns whether a runner of `service`, or of any service if that is `None`, has restarted under an earlier owner or
    /// this one, has not answered this one, and may still hold work of an earlier one.
    pub(super) fn has_unsettled_restart(&self, service: Option<&str>, now: LocalTime) -> bool {
        let mut open = self.restarts.open.iter();
        open.any(|open| {
            let is_asked = service.is_none_or(|service| open.restart.service == service);
            is_asked && self.is_unsettled(open, now)
        })
    }

    fn is_unsettled(&self, open: &OpenRestart, now: LocalTime) -> bool {
        let key = self.runners.find(&open.restart.runner);
        let Some(runner) = key.and_then(|key| self.runners.get(key)) else {
            return open.lapse.is_some_and(|lapse| now <= lapse);
        };
        let end_of_runs = || runner.end_of_runs(self.runners.max_lease());
        !runner.fenced && now <= open.lapse.unwrap_or_else(end_of_runs)
    }
}
