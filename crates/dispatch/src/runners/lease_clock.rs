use goldcreststall_core::ids::{LocalTime, Millis};

/// How long a runner keeps its work after the last command or hold call that reached it. Longer than an election
/// and the reading of the store, so that work survives a change of the owner.
pub const RUNNER_LEASE: Millis = Millis(3_500);
/// Added to the end of a lease: the runner needs this long to end its work.
const KILL_SLACK: Millis = Millis(300);
/// Share by which a runner's clock may be slow, as a divisor: one fiftieth.
const SLOW_DIVISOR: u64 = 49;

/// Returns how long after a command the lease that it granted has ended for certain.
pub fn longest_lapse() -> Millis {
    stretch(RUNNER_LEASE.0)
}

fn stretch(millis: u64) -> Millis {
    Millis(millis + millis / SLOW_DIVISOR + KILL_SLACK.0)
}

/// What is known of a runner's steady clock and of the leases granted on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseClock {
    reading: Option<(u64, LocalTime)>,
    granted: u64,
}

impl LeaseClock {
    /// Records a reading of the runner's clock that arrived at `now`.
    pub fn read(&mut self, clock_ms: u64, now: LocalTime) {
        self.reading = Some((clock_ms, now));
    }

    /// Returns the deadline of a command that is sent now, on the runner's clock, and records it as granted.
    pub fn grant(&mut self, now: LocalTime) -> Option<u64> {
        let (clock, at) = self.reading?;
        let deadline = clock + now.since(at).0 + RUNNER_LEASE.0;
        self.granted = self.granted.max(deadline);
        Some(deadline)
    }

    /// Returns how long the runner had lived at the last reading: its clock starts anew with each lifetime.
    pub fn uptime(&self) -> Option<Millis> {
        let (clock, _) = self.reading?;
        Some(Millis(clock))
    }

    /// Returns when everything that was granted has lapsed for certain.
    pub fn lapse(&self) -> Option<LocalTime> {
        let (clock, at) = self.reading?;
        Some(at + stretch(self.granted.saturating_sub(clock)))
    }
}
