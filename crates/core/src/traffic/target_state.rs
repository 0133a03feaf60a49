use crate::ids::{LocalTime, Millis};

/// Weight of the newest outcome in the failure rate.
const FAILURE_GAIN: f64 = 0.2;
/// Failure rate above which a target is only probed.
const FAILURE_LIMIT: f64 = 0.6;
/// Weight of the newest answer in the slowness of a target.
const SLOWNESS_GAIN: f64 = 0.04;
/// Slowness above which the learned limit falls. It is 3.5 standard deviations of the average above
/// the uncontended time for exponentially distributed service times.
const SLOW: f64 = 1.5;
/// Smallest factor by which one cut lowers the limit.
const LIMIT_CUT: f64 = 0.5;
/// Factor by which a refusal lowers the limit.
const REFUSAL_CUT: f64 = 0.85;
/// Most slots by which the limit rises with each digest, reached at the uncontended time.
const LIMIT_STEP: f64 = 0.06;
/// Smallest part of `LIMIT_STEP`. An entry host without a slot learns no new slowness, and its limit has to
/// rise all the same.
const LIMIT_STEP_PART: f64 = 0.1;
/// Shortest time between two cuts of the limit that refusals cause.
const REFUSAL_PAUSE: Millis = Millis(100);
/// First and longest pause between probes of a failing target.
const PROBE_PAUSE: Millis = Millis(1_000);
const PROBE_PAUSE_MAX: Millis = Millis(8_000);

/// What one entry host knows of a target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Requests that this entry host may have in flight at the target.
    pub allowed: u32,
    /// What the target adds to the capacity of its service at present.
    pub counted: u32,
    /// Whether the target takes work under the limits of this entry host: present and not leaving.
    pub usable: bool,
    /// Counts the uses of the place in the view.
    pub generation: u32,
    /// Requests of this entry host in flight at the target.
    pub in_flight: u32,
    /// Whether the target is in the data centre of this entry host.
    pub near: bool,
    /// Place in the list of open targets.
    pub open_place: Option<u32>,
    /// When the next probe of a failing target is due.
    pub probe_due: Option<LocalTime>,
    /// Time under which the target is listed for a probe.
    pub probe_listed: Option<LocalTime>,
    /// Slots of the target that the split gives to this entry host.
    pub share: u32,
    /// Slots that the split gives to the entry hosts before this one.
    pub share_start: u32,
    /// Index of the service.
    pub service: u16,
    /// Slots that the target declares.
    pub slots: u32,
    cut_at: LocalTime,
    failure_rate: f64,
    limit: f64,
    probe_pause: Millis,
    slowness: f64,
}

impl TargetState {
    /// Returns the state of a target that was never used.
    pub fn new(generation: u32, service: u16, slots: u32) -> Self {
        Self {
            allowed: 0,
            counted: 0,
            cut_at: LocalTime(0),
            failure_rate: 0.0,
            generation,
            in_flight: 0,
            limit: f64::from(slots),
            near: false,
            open_place: None,
            probe_due: None,
            probe_listed: None,
            probe_pause: PROBE_PAUSE,
            service,
            share: slots,
            share_start: 0,
            slots,
            slowness: 1.0,
            usable: false,
        }
    }

    /// Takes over the declared slots; a learned limit above them falls.
    pub fn declare(&mut self, slots: u32) {
        if slots > self.slots {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Tells whether another request may be sent.
    pub fn is_open(&self) -> bool {
        self.usable && self.probe_due.is_none() && self.in_flight < self.allowed
    }

    /// Returns what the target adds to the capacity of its service.
    pub fn countable(&self) -> u32 {
        if self.usable && self.probe_due.is_none() {
            self.allowed
        } else {
            0
        }
    }

    /// Returns the cost of sending the next request here; smaller is better.
    pub fn cost(&self) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(self.allowed.max(1));
        load * self.slowness * (1.0 + 4.0 * self.failure_rate)
    }

    /// Sets the allowed requests from share, connections and learned limit.
    ///
    /// The shares of all entry hosts are laid end to end and scaled to the learned limit; an entry host is
    /// allowed the whole slots that end within its part. Entry hosts that learned the same limit thus
    /// take it together, neither more nor less. `phase` in 0..1 is the same at all of them.
    pub fn update_allowed(&mut self, connections: u32, phase: f64) {
        let scale = self.limit / f64::from(self.slots.max(1));
        let start = f64::from(self.share_start) * scale + phase;
        let end = f64::from(self.share_start + self.share) * scale + phase;
        let learned = (end.floor() - start.floor()) as u32;
        self.allowed = learned.min(self.share).min(connections);
    }

    /// Lets the limit rise until slow answers cut it again. It rises by time and not by answers, since an
    /// entry host without a slot gets no answers.
    pub fn raise_limit(&mut self) {
        // Near the threshold a full step would overload the target again at once.
        let part = ((SLOW - self.slowness) / (SLOW - 1.0)).clamp(LIMIT_STEP_PART, 1.0);
        self.limit = (self.limit + part * LIMIT_STEP).min(f64::from(self.slots));
    }

    /// Learns from a complete answer that took `ratio` times the uncontended time.
    pub fn learn_answer(&mut self, now: LocalTime, took: Millis, ratio: Option<f64>) {
        self.failure_rate -= FAILURE_GAIN * self.failure_rate;
        self.probe_due = None;
        self.probe_pause = PROBE_PAUSE;
        let Some(ratio) = ratio else {
            return;
        };
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
        // One cut for each answer time, since answers that were sent before a cut still report it.
        let settled = now.since(self.cut_at) >= Millis(took.0.saturating_mul(2));
        if self.slowness > SLOW && settled {
            // Times grow in proportion to the excess, so that the slowness to come is known. Without the
            // prediction the slow average would cause further cuts.
            let cut = (SLOW / self.slowness).max(LIMIT_CUT);
            self.limit = (self.limit * cut).max(1.0);
            self.slowness *= cut;
            self.cut_at = now;
        }
    }

    /// Learns from a request that the target did not run, as a target does that is full.
    pub fn learn_refusal(&mut self, now: LocalTime) {
        if now.since(self.cut_at) >= REFUSAL_PAUSE {
            self.limit = (self.limit * REFUSAL_CUT).max(1.0);
            self.cut_at = now;
        }
    }

    /// Learns from a failure; `may_exclude` allows the target to be reduced to probes.
    pub fn learn_failure(&mut self, now: LocalTime, may_exclude: bool) {
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
        if self.probe_due.is_some() {
            self.probe_pause = Millis((self.probe_pause.0 * 2).min(PROBE_PAUSE_MAX.0));
            self.probe_due = Some(now + self.probe_pause);
        } else if self.failure_rate > FAILURE_LIMIT && may_exclude {
            self.probe_due = Some(now + self.probe_pause);
        }
    }

    /// Starts a probe; the next one is due after the pause.
    pub fn start_probe(&mut self, now: LocalTime) {
        self.probe_due = Some(now + self.probe_pause);
    }
}
