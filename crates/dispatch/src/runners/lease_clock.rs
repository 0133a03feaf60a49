use goldcreststall_core::ids::{LocalTime, Millis};

/// How long a runner keeps its work after the last command or hold call that reached it. This is longer than an
/// election and reading the store take, so that work survives a change of the owner.
pub const RUNNER_LEASE: Millis = Millis(3_500);
/// Longest lease that a runner accepts, unless the settings name another.
pub const DEFAULT_MAX_LEASE: Millis = Millis(10_000);
/// Added to the end of a lease: the time that the runner needs to end its work.
const KILL_MARGIN: Millis = Millis(300);
/// Bound on the drift of a runner's clock: it may be slow by one in this many parts of real time.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// Age of a reading from which on it is read again, while a runner is idle: each second of age shortens the next lease by
/// 20 ms.
const READING_REFRESH_AGE: Millis = Millis(20_000);
/// Age of a reading from which on no lease is granted by it. The shortest lease is 2.9 s then, which still outlasts a change
/// of the owner.
const MAX_READING_AGE: Millis = Millis(30_000);

/// How far the shown lease may exceed [`RUNNER_LEASE`]: readings of clocks are whole milliseconds.
const ROUNDING_MARGIN: Millis = Millis(10);
/// How long a response may take, or how far responses may overtake each other: a reading that is off by more is of another
/// clock.
const RESPONSE_TIME: Millis = Millis(2_000);

/// Largest reading of a runner's clock that is believed, in milliseconds: 100 years of uptime. A larger one would make
/// leases overflow, or last for ever.
pub const MAX_CLOCK_MS: u64 = 100 * 365 * 24 * 3_600_000;

/// Returns how long after a command the lease that it granted has certainly lapsed.
pub fn max_lapse_delay() -> Millis {
    lapse_delay(RUNNER_LEASE)
}

/// Returns how long after the arrival of a command a lease of up to `lease` has certainly lapsed: adds the possible clock
/// drift and the time to end the work.
pub fn lapse_delay(lease: Millis) -> Millis {
    lease + Millis(lease.0 / (CLOCK_DRIFT_DIVISOR - 1)) + KILL_MARGIN
}

/// Returns how far the slowest clock goes on while `elapsed` passes.
fn least_progress(elapsed: Millis) -> Millis {
    Millis(elapsed.0 - elapsed.0.div_ceil(CLOCK_DRIFT_DIVISOR))
}

/// Returns whether a deadline, executed while the runner's clock read `clock_ms`, has granted more than an owner grants. The
/// deadline is then on another clock, that of an earlier instance, and no successor counts on so long a lease.
pub fn is_overlong(deadline_ms: u64, clock_ms: u64) -> bool {
    deadline_ms.saturating_sub(clock_ms) > RUNNER_LEASE.0 + ROUNDING_MARGIN.0
}

/// Last known reading of a runner's steady clock, and the latest lease granted on that clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseClock {
    /// Longest lease that a call which was not meant for this instance may have granted. None once a reading shows that the
    /// instance is fenced against such calls.
    foreign_lease: Option<Millis>,
    reading: Option<(u64, LocalTime)>,
    granted: u64,
}

impl LeaseClock {
    /// Creates the clock of an instance on which calls that were not meant for it may grant a lease of up to
    /// `foreign_lease`, until it is fenced.
    pub fn new(foreign_lease: Millis) -> Self {
        Self {
            foreign_lease: Some(foreign_lease),
            reading: None,
            granted: 0,
        }
    }

    /// Records a reading of the runner's clock that arrived at `now`. One above [`MAX_CLOCK_MS`] is ignored, and so is one
    /// below the latest: it was overtaken, or is of another instance, for whose clock the granted leases mean nothing.
    pub fn record_reading(&mut self, clock_ms: u64, now: LocalTime) {
        let is_overtaken = self.reading.is_some_and(|(latest, _)| clock_ms < latest);
        if clock_ms > MAX_CLOCK_MS || is_overtaken {
            return;
        }
        if let Some(lease) = self.foreign_lease {
            // A call that was meant for an ended instance has a deadline on another clock.
            self.granted = self.granted.max(clock_ms + lease.0);
        }
        self.reading = Some((clock_ms, now));
    }

    /// Returns whether a reading that arrived at `now` is too low or too high to be of this clock, so that another instance has
    /// responded.
    pub fn is_foreign(&self, clock_ms: u64, now: LocalTime) -> bool {
        let Some((latest, at)) = self.reading else {
            return false;
        };
        let elapsed = now.since(at).0;
        let most = latest + elapsed + elapsed / CLOCK_DRIFT_DIVISOR + RESPONSE_TIME.0;
        clock_ms > most || clock_ms + RESPONSE_TIME.0 < latest
    }

    /// Records that the instance was fenced before its last reading: no call that was not meant for it has an effect any more.
    /// Nothing is known of its lease before the first reading.
    pub fn end_foreign_leases(&mut self) {
        if self.reading.is_some() {
            self.foreign_lease = None;
        }
    }

    /// Returns the end of the lease for a command that is sent now, in milliseconds on the runner's clock, and records
    /// it as granted; none before the first reading, and when the last one is too old.
    pub fn grant(&mut self, now: LocalTime) -> Option<u64> {
        let (clock, at) = self.reading.filter(|_| self.can_grant(now))?;
        let deadline = clock + least_progress(now.since(at)).0 + RUNNER_LEASE.0;
        self.granted = self.granted.max(deadline);
        Some(deadline)
    }

    /// Returns whether a reading is known that is recent enough to grant a lease.
    pub fn can_grant(&self, now: LocalTime) -> bool {
        self.reading
            .is_some_and(|(_, at)| now.since(at) <= MAX_READING_AGE)
    }

    /// Returns whether the clock should be read again before the next lease.
    pub fn needs_reading(&self, now: LocalTime) -> bool {
        self.reading
            .is_some_and(|(_, at)| now.since(at) >= READING_REFRESH_AGE)
    }

    /// Returns the last reading in milliseconds, and when it arrived.
    pub fn reading(&self) -> Option<(u64, LocalTime)> {
        self.reading
    }

    /// Returns the latest deadline that may have been granted, in milliseconds on the runner's clock.
    pub fn granted_ms(&self) -> u64 {
        self.granted
    }

    /// Returns the last reading as the uptime of the runner, which it is where clocks start at 0.
    pub fn uptime(&self) -> Option<Millis> {
        let (clock, _) = self.reading?;
        Some(Millis(clock))
    }

    /// Returns when every granted lease has certainly lapsed. Before the first reading, `first_seen` is taken for the time
    /// of the last command.
    pub fn lapse_time(&self, first_seen: LocalTime) -> LocalTime {
        match self.reading {
            Some((clock, at)) => at + lapse_delay(Millis(self.granted.saturating_sub(clock))),
            None => first_seen + lapse_delay(self.foreign_lease.unwrap_or(RUNNER_LEASE)),
        }
    }
}
