use crate::ids::{LocalTime, Millis};

/// Weight of the newest outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate above which a target gets only probes.
const FAILURE_RATE_LIMIT: f64 = 0.6;
/// Weight of the newest response in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.04;
/// Slowness above which the learned limit is lowered. For exponentially distributed service times it lies
/// 3.5 standard deviations of the average above the uncontended time.
const SLOWNESS_LIMIT: f64 = 1.5;
/// Smallest factor that slowness applies to the limit in one step.
const MIN_LIMIT_FACTOR: f64 = 0.5;
/// Factor that a refusal applies to the limit.
const REFUSAL_LIMIT_FACTOR: f64 = 0.85;
/// Maximum number of slots by which the limit rises with each digest, reached at the uncontended time.
const MAX_LIMIT_STEP: f64 = 0.06;
/// Minimum fraction of `MAX_LIMIT_STEP` by which the limit rises. The slowness of a target is not updated on an
/// entry host that has no slot there, and its limit has to rise nevertheless.
const MIN_LIMIT_STEP_FRACTION: f64 = 0.1;
/// Minimum time since the limit was last lowered before a refusal lowers it again.
const REFUSAL_COOLDOWN: Millis = Millis(100);
/// Initial delay between probes of a failing target; it doubles up to `MAX_PROBE_DELAY`.
const INITIAL_PROBE_DELAY: Millis = Millis(1_000);
const MAX_PROBE_DELAY: Millis = Millis(8_000);

/// State of a target as seen by one entry host.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Number of requests that this entry host may have in flight at the target.
    pub allowed: u32,
    /// Capacity of the target that is included in the capacity of its service.
    pub counted_capacity: u32,
    /// Whether the target may be used: present, not leaving, and not covered by a leaving notice.
    pub usable: bool,
    /// Number of times that the target's index in the view has been reused.
    pub generation: u32,
    /// Number of requests of this entry host in flight at the target.
    pub in_flight: u32,
    /// Whether the target is in the data centre of this entry host.
    pub is_local: bool,
    /// Position in the list of open targets.
    pub open_position: Option<u32>,
    /// Due time of the next probe of a failing target.
    pub probe_due: Option<LocalTime>,
    /// Due time with which the target is entered in the probes of its service.
    pub scheduled_probe: Option<LocalTime>,
    /// Number of slots of the target that the division gives to this entry host.
    pub share: u32,
    /// Number of slots that the division gives to the entry hosts before this one.
    pub share_start: u32,
    pub service: u16,
    /// Number of slots that the target declares.
    pub slots: u32,
    limit_lowered_at: LocalTime,
    failure_rate: f64,
    /// Learned number of requests that the target can run concurrently for all entry hosts together.
    limit: f64,
    probe_delay: Millis,
    /// Moving average of the response times, as a multiple of the uncontended time.
    slowness: f64,
}

impl TargetState {
    /// Creates the state of an unused target.
    pub fn new(generation: u32, service: u16, slots: u32) -> Self {
        Self {
            allowed: 0,
            counted_capacity: 0,
            limit_lowered_at: LocalTime(0),
            failure_rate: 0.0,
            generation,
            in_flight: 0,
            limit: f64::from(slots),
            is_local: false,
            open_position: None,
            probe_due: None,
            scheduled_probe: None,
            probe_delay: INITIAL_PROBE_DELAY,
            service,
            share: slots,
            share_start: 0,
            slots,
            slowness: 1.0,
            usable: false,
        }
    }

    /// Sets the declared slots. A higher number resets the learned limit to it; a lower one caps the limit.
    pub fn set_declared_slots(&mut self, slots: u32) {
        if slots > self.slots {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Returns whether another request may be sent.
    pub fn is_open(&self) -> bool {
        self.usable && self.probe_due.is_none() && self.in_flight < self.allowed
    }

    /// Returns the number of requests that the target adds to the capacity of its service.
    pub fn capacity(&self) -> u32 {
        if self.usable && self.probe_due.is_none() {
            self.allowed
        } else {
            0
        }
    }

    /// Returns the relative cost of sending the next request here; smaller is better.
    pub fn cost(&self) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(self.allowed.max(1));
        load * self.slowness * (1.0 + 4.0 * self.failure_rate)
    }

    /// Sets the allowed requests from share, connections and learned limit.
    ///
    /// The shares of all entry hosts are laid end to end and scaled to the learned limit; an entry host is
    /// allowed the whole slots that end within its interval. Entry hosts that learned the same limit thus use
    /// exactly this limit together. `phase` is in 0..1 and has to be the same on all of them.
    pub fn update_allowed(&mut self, connections: u32, phase: f64) {
        let scale = self.limit / f64::from(self.slots.max(1));
        let start = f64::from(self.share_start) * scale + phase;
        let end = f64::from(self.share_start + self.share) * scale + phase;
        let learned = (end.floor() - start.floor()) as u32;
        self.allowed = learned.min(self.share).min(connections);
    }

    /// Raises the limit; slow responses lower it again. The limit rises with time and not with responses, since an
    /// entry host without a slot gets no responses.
    pub fn raise_limit(&mut self) {
        // Near the threshold a full step would immediately overload the target again.
        let step_fraction = ((SLOWNESS_LIMIT - self.slowness) / (SLOWNESS_LIMIT - 1.0))
            .clamp(MIN_LIMIT_STEP_FRACTION, 1.0);
        self.limit = (self.limit + step_fraction * MAX_LIMIT_STEP).min(f64::from(self.slots));
    }

    /// Records a complete response that took `ratio` times the uncontended time.
    pub fn record_response(&mut self, now: LocalTime, elapsed: Millis, ratio: Option<f64>) {
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.probe_due = None;
        self.probe_delay = INITIAL_PROBE_DELAY;
        let Some(ratio) = ratio else {
            return;
        };
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
        // The limit is lowered at most once in two response times, since responses to requests sent before
        // the last change still show the old slowness.
        let old_responses_ended =
            now.since(self.limit_lowered_at) >= Millis(elapsed.0.saturating_mul(2));
        if self.slowness > SLOWNESS_LIMIT && old_responses_ended {
            // Response times grow in proportion to the overload, so the slowness at the new limit is predicted.
            // Without the prediction the slow average would lower the limit again.
            let factor = (SLOWNESS_LIMIT / self.slowness).max(MIN_LIMIT_FACTOR);
            self.limit = (self.limit * factor).max(1.0);
            self.slowness *= factor;
            self.limit_lowered_at = now;
        }
    }

    /// Records a request that the target did not run, as happens when the target is full.
    pub fn record_refusal(&mut self, now: LocalTime) {
        if now.since(self.limit_lowered_at) >= REFUSAL_COOLDOWN {
            self.limit = (self.limit * REFUSAL_LIMIT_FACTOR).max(1.0);
            self.limit_lowered_at = now;
        }
    }

    /// Records a failure; `can_exclude` allows the target to be limited to probes.
    pub fn record_failure(&mut self, now: LocalTime, can_exclude: bool) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.probe_due.is_some() {
            self.probe_delay = Millis((self.probe_delay.0 * 2).min(MAX_PROBE_DELAY.0));
            self.probe_due = Some(now + self.probe_delay);
        } else if self.failure_rate > FAILURE_RATE_LIMIT && can_exclude {
            self.probe_due = Some(now + self.probe_delay);
        }
    }

    /// Starts a probe; the next one is due after the probe delay.
    pub fn start_probe(&mut self, now: LocalTime) {
        self.probe_due = Some(now + self.probe_delay);
    }
}
