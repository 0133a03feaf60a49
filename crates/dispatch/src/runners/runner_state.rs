use {
    super::{Capacity, LeaseClock, RunnerReport, RunnerStatus},
    crate::jobs::ItemKey,
    goldcreststall_core::ids::LocalTime,
};

/// Place of a runner's lifetime in the [`super::RunnerTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerKey(pub u32);

/// One lifetime of a runner.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Its newest entry in the platform's list.
    pub report: RunnerReport,
    /// The entry is in the list.
    pub listed: bool,
    /// The lifetime has ended for certain. Another one may answer at its address under its id, and would take this one's
    /// acknowledgements for its own.
    pub has_ended: bool,
    /// It has answered a hold call with this owner's token: older owners' commands have no effect there.
    pub fenced: bool,
    /// When it was first seen by this owner.
    pub first_seen: LocalTime,
    /// Its clock and the leases granted on it.
    pub clock: LeaseClock,
    /// When the hold call in flight was sent.
    pub hold_sent: Option<LocalTime>,
    /// When the next hold call may be sent.
    pub next_hold: LocalTime,
    /// When it last answered.
    pub last_response: LocalTime,
    /// Hold calls in a row without a response.
    pub missed_holds: u32,
    /// Highest end that was processed.
    pub processed: u64,
    /// Highest end whose outcome is stored, which may be acknowledged.
    pub stored: u64,
    /// Highest end that was acknowledged by a hold call with a response.
    pub acknowledged: u64,
    /// Room taken by runs.
    pub used: Capacity,
    /// Work items with a run here, once for each run.
    pub items: Vec<ItemKey>,
    /// Lists runs of jobs that are not known; their room is not known either.
    pub has_unknown_runs: bool,
    /// Takes no new work until then, after failures.
    pub cooldown_until: LocalTime,
    /// Failed runs in a row.
    pub consecutive_failures: u32,
    /// Takes no new work, because the host is about to move or to be maintained.
    pub cordoned: bool,
    /// The host is due for maintenance, so that work that lasts is better placed elsewhere.
    pub due: bool,
    /// Since when nothing runs here.
    pub empty_since: LocalTime,
}

impl RunnerState {
    /// Creates the state of a lifetime that was just seen.
    pub fn new(report: RunnerReport, now: LocalTime) -> Self {
        Self {
            report,
            listed: true,
            has_ended: false,
            fenced: false,
            first_seen: now,
            clock: LeaseClock::default(),
            hold_sent: None,
            next_hold: now,
            last_response: LocalTime(0),
            missed_holds: 0,
            processed: 0,
            stored: 0,
            acknowledged: 0,
            used: Capacity::default(),
            items: Vec::new(),
            has_unknown_runs: false,
            cooldown_until: LocalTime(0),
            consecutive_failures: 0,
            cordoned: false,
            due: false,
            empty_since: now,
        }
    }

    /// Returns the room that is left.
    pub fn free(&self) -> Capacity {
        self.report.capacity.minus(&self.used)
    }

    /// Returns whether new work may be started here.
    pub fn accepts_work(&self, now: LocalTime) -> bool {
        self.listed
            && self.fenced
            && !self.has_unknown_runs
            && !self.cordoned
            && self.missed_holds == 0
            && self.report.status == RunnerStatus::Ready
            && self.cooldown_until <= now
    }

    /// Returns whether the runner has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| own == label)
    }
}
