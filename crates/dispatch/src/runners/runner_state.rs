use {
    super::{Capacity, LeaseClock, RunnerReport, RunnerStatus, lapse_delay},
    crate::jobs::{ItemKey, ItemName},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time between two lists of a runner from which on they do not show what its work did in between. Hold calls wait for half
/// of it.
const LIST_GAP: Millis = Millis(1_500);

/// Most runs that are started on a runner at a time. Work may demand no capacity, and a list of all runs must stay well below
/// the longest response of a runner that is read, 1 MiB.
const MAX_RUNS: usize = 2_000;

/// How long after it was issued a call may be executed at the latest, by the next instance of its runner. Counts only where
/// nothing but time excludes the call, because the runner cannot be reached. The protocol names no bound; calls were seen up to
/// 12 s late, and a delegate may keep a command for a second.
pub const MAX_CALL_DELAY: Millis = Millis(13_000);

/// Index of an instance of a runner in the [`super::RunnerTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerKey(pub u32);

/// One instance of a runner, as known to the owner.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Its latest entry in the platform's list.
    pub report: RunnerReport,
    /// The platform's list contains its entry.
    pub listed: bool,
    /// The instance has certainly ended. Another one may answer at its address under its id, and would take the
    /// acknowledgements of this one for its own.
    pub has_ended: bool,
    /// Fencing token of the commands to it. It is raised once, from [`Self::earlier_token`], before the instance is fenced.
    pub token: u64,
    /// Highest token of this owner's commands that may have been meant for earlier instances under its id; 0 if there were
    /// none.
    pub earlier_token: u64,
    /// It has responded to a hold call with a token above [`Self::earlier_token`]. Commands of earlier owners, and those that
    /// were meant for earlier instances, have no effect there.
    pub fenced: bool,
    /// When it was first seen by this owner.
    pub first_seen: LocalTime,
    /// Its clock, and the leases granted on that clock.
    pub clock: LeaseClock,
    /// When the hold call in flight was sent.
    pub hold_sent: Option<LocalTime>,
    /// When the last hold call was sent. An instance with runs is called all the time, so that no other command is sent much
    /// later.
    pub last_called: LocalTime,
    /// When the next hold call may be sent.
    pub next_hold: LocalTime,
    /// When it last responded.
    pub last_response: LocalTime,
    /// When it last listed its runs.
    pub last_listed: LocalTime,
    /// Since when its lists have come without a long gap, in which its work may have stood still.
    pub listing_since: LocalTime,
    /// Hold calls in a row without a response.
    pub missed_holds: u32,
    /// Highest sequence number of an end that was processed.
    pub processed: u64,
    /// Highest sequence number of an end whose outcome is stored, so that it may be acknowledged.
    pub stored: u64,
    /// Highest sequence number of an end that was acknowledged by a hold call with a response.
    pub acknowledged: u64,
    /// Capacity used by runs.
    pub used: Capacity,
    /// Part of it that is used by long-running work, which does not end by itself.
    pub used_for_good: Capacity,
    /// Capacity that is reserved for long-running work which is on its way here.
    pub reserved: Capacity,
    /// Work items with a run on this runner, once for each run.
    pub items: Vec<ItemKey>,
    /// Listed runs of unknown jobs, whose use of capacity is not known either: work item, run, and when a stop was last
    /// issued.
    pub unknown_runs: Vec<(ItemName, u32, LocalTime)>,
    /// The list names an earlier start than the one known, or a response was on another clock; the next list of runs shows
    /// which instance runs.
    pub in_doubt: bool,
    /// It has restarted under its id, and no later owner would know of it yet: its token is not raised, and it gets no new
    /// work.
    pub is_restart_unstored: bool,
    /// It gets no new work before this time, after failures or refusals.
    pub cooldown_until: LocalTime,
    /// Start commands in a row without a response.
    pub unanswered_starts: u32,
    /// When the last of them was counted.
    pub unanswered_at: LocalTime,
    /// Number of consecutive failed runs.
    pub consecutive_failures: u32,
    /// It gets no new work, because its host is about to move or to be maintained.
    pub cordoned: bool,
    /// Its host is due for maintenance, so that long-running work is better placed elsewhere.
    pub due: bool,
    /// Since when it has had no runs.
    pub empty_since: LocalTime,
}

impl RunnerState {
    /// Creates the state of an instance that was just listed for the first time. `token` is the one that commands to it
    /// carry at first, `earlier_token` the highest one of commands that may have been meant for earlier instances under its id,
    /// and `max_lease` the longest lease that it accepts.
    pub fn new(
        report: RunnerReport,
        token: u64,
        earlier_token: u64,
        max_lease: Millis,
        now: LocalTime,
    ) -> Self {
        Self {
            report,
            listed: true,
            has_ended: false,
            token,
            earlier_token,
            fenced: false,
            first_seen: now,
            clock: LeaseClock::new(max_lease),
            hold_sent: None,
            last_called: LocalTime(0),
            next_hold: now,
            last_response: LocalTime(0),
            last_listed: LocalTime(0),
            listing_since: now,
            missed_holds: 0,
            processed: 0,
            stored: 0,
            acknowledged: 0,
            used: Capacity::default(),
            used_for_good: Capacity::default(),
            reserved: Capacity::default(),
            items: Vec::new(),
            unknown_runs: Vec::new(),
            in_doubt: false,
            is_restart_unstored: false,
            cooldown_until: LocalTime(0),
            unanswered_starts: 0,
            unanswered_at: LocalTime(0),
            consecutive_failures: 0,
            cordoned: false,
            due: false,
            empty_since: now,
        }
    }

    /// Returns whether commands to it carry a token that no command for an earlier instance has.
    pub fn has_own_token(&self) -> bool {
        self.token > self.earlier_token
    }

    /// Raises the token of commands to it to `newest_token`, if that excludes the commands for earlier instances. Not before
    /// the restart is stored: a fenced instance also refuses the stops with which the sender of a start ends an overlong run.
    pub fn raise_token(&mut self, newest_token: u64) {
        if !self.has_own_token() && !self.is_restart_unstored {
            self.token = self.token.max(newest_token);
        }
    }

    /// Records that its last response was to a call with its own token.
    pub fn record_fence(&mut self) {
        self.fenced = true;
        self.clock.end_foreign_leases();
    }

    /// Records a reading of the clock from a response that does not name its instance. One that is not of this clock puts the
    /// instance in doubt: by the clock of another, the granted leases may look lapsed.
    pub fn record_unnamed_reading(&mut self, clock_ms: u64, now: LocalTime) {
        if self.clock.is_foreign(clock_ms, now) {
            self.in_doubt = true;
        } else {
            self.clock.record_reading(clock_ms, now);
        }
    }

    /// Returns when its runs have certainly ended, if it stays silent. Until it is fenced, a start that was meant for an
    /// earlier instance may still begin there, if there was one.
    pub fn end_of_runs(&self, max_lease: Millis) -> LocalTime {
        let granted = self.clock.lapse_time(self.first_seen);
        if self.fenced || self.earlier_token == 0 {
            return granted;
        }
        granted.max(self.first_seen + MAX_CALL_DELAY + lapse_delay(max_lease))
    }

    /// Returns the capacity that is neither used nor reserved.
    pub fn free(&self) -> Capacity {
        self.free_beside(&Capacity::default())
    }

    /// Returns the free capacity for work that holds `own` of the reservations.
    pub fn free_beside(&self, own: &Capacity) -> Capacity {
        let taken = self.used.plus(&self.reserved.minus(own));
        self.report.capacity.minus(&taken)
    }

    /// Returns the capacity that is free once all work has ended that ends by itself.
    pub fn free_when_drained(&self) -> Capacity {
        let taken = self.used_for_good.plus(&self.reserved);
        self.report.capacity.minus(&taken)
    }

    /// Returns whether `added` more runs may be started beside those that are recorded.
    pub fn takes_runs(&self, added: usize) -> bool {
        self.items.len() + added <= MAX_RUNS
    }

    /// Returns whether the runner is listed and may still run. The list keeps an entry for some seconds after its runner
    /// has ended.
    pub fn is_present(&self) -> bool {
        self.listed && !self.has_ended
    }

    /// Returns the highest number of an end that is still to be acknowledged; 0 if there is none. An acknowledgement is not
    /// repeated once it was answered: the next instance under the same id, which numbers its ends anew, would take it for
    /// its own and forget them.
    pub fn unacknowledged_end(&self) -> u64 {
        if self.stored > self.acknowledged {
            self.stored
        } else {
            0
        }
    }

    /// Records that the runner has listed its runs.
    pub fn record_list(&mut self, now: LocalTime) {
        if now.since(self.last_listed) > LIST_GAP {
            self.listing_since = now;
        }
        self.last_listed = now;
    }

    /// Returns whether new work may be started on the runner.
    pub fn accepts_work(&self, now: LocalTime) -> bool {
        self.is_present()
            && self.fenced
            && self.unknown_runs.is_empty()
            && !self.in_doubt
            && !self.is_restart_unstored
            && !self.cordoned
            && self.missed_holds == 0
            && self.clock.can_grant(now)
            && self.report.status == RunnerStatus::Ready
            && self.cooldown_until <= now
    }

    /// Returns whether the runner reports the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.report
            .labels
            .iter()
            .any(|own_label| own_label == label)
    }
}
