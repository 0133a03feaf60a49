use goldcreststall_core::ids::{LocalTime, Millis};

/// How long a runner keeps its work after the last command or hold call that reached it. This is longer than an
/// election and reading the store take, so that work survives a change of the owner.
pub const RUNNER_LEASE: Millis = Millis(3_500);
/// Longest lease that a runner accepts, unless the settings name another.
pub const DEFAULT_MAX_LEASE: Millis = Millis(10_000);
/// Added to the end of a lease: the time that the runner needs to end its work.
const KILL_MARGIN: Millis = Millis(300);
/// Bound on the drift of a runner's clock. The clock may be slow by one fiftieth, so that real time exceeds the time on
/// it by up to one in 49.
const CLOCK_DRIFT_DIVISOR: u64 = 49;

/// Largest reading of a runner's clock that is believed, in milliseconds: 100 years of uptime. A larger one would make
/// leases overflow, or last for ever.
pub const MAX_CLOCK_MS: u64 = 100 * 365 * 24 * 3_600_000;

/// Returns how long after a command the lease that it granted has certainly lapsed.
pub fn max_lapse_delay() -> Millis {
    add_safety_margin(RUNNER_LEASE.0)
}

/// Adds the possible clock drift and the time to end the work.
fn add_safety_margin(millis: u64) -> Millis {
    Millis(millis + millis / CLOCK_DRIFT_DIVISOR + KILL_MARGIN.0)
}

/// Last known reading of a runner's steady clock, and the latest lease granted on that clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseClock {
    reading: Option<(u64, LocalTime)>,
    granted: u64,
    /// Longest lease that may have been granted on the clock before its first reading, if longer than [`RUNNER_LEASE`].
    earlier_lease: Option<Millis>,
}

impl LeaseClock {
    /// Records a reading of the runner's clock that arrived at `now`; one above [`MAX_CLOCK_MS`] is ignored.
    pub fn record_reading(&mut self, clock_ms: u64, now: LocalTime) {
        if clock_ms > MAX_CLOCK_MS {
            return;
        }
        if self.reading.is_none() {
            // An earlier owner may have granted a lease immediately before.
            self.granted = clock_ms + self.earlier_lease().0;
        }
        self.reading = Some((clock_ms, now));
    }

    /// Records that a command with a deadline on another clock may have granted a lease of up to `lease`.
    pub fn expect_lease(&mut self, lease: Millis) {
        self.earlier_lease = Some(lease.max(self.earlier_lease()));
        if let Some((clock_ms, _)) = self.reading {
            self.granted = self.granted.max(clock_ms + lease.0);
        }
    }

    fn earlier_lease(&self) -> Millis {
        self.earlier_lease.unwrap_or(RUNNER_LEASE)
    }

    /// Returns the end of the lease for a command that is sent now, in milliseconds on the runner's clock, and records
    /// it as granted; none before the first reading.
    pub fn grant(&mut self, now: LocalTime) -> Option<u64> {
        let (clock, at) = self.reading?;
        let deadline = clock + now.since(at).0 + RUNNER_LEASE.0;
        self.granted = self.granted.max(deadline);
        Some(deadline)
    }

    /// Returns the uptime of the runner at the last reading: each instance of a runner starts its clock at 0.
    pub fn uptime(&self) -> Option<Millis> {
        let (clock, _) = self.reading?;
        Some(Millis(clock))
    }

    /// Returns when every granted lease has certainly lapsed. Before the first reading, `first_seen` is taken for the time
    /// of the last command.
    pub fn lapse_time(&self, first_seen: LocalTime) -> LocalTime {
        match self.reading {
            Some((clock, at)) => at + add_safety_margin(self.granted.saturating_sub(clock)),
            None => first_seen + add_safety_margin(self.earlier_lease().0),
        }
    }
}
