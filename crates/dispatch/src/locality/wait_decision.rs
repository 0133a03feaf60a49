use goldcreststall_core::ids::Millis;

/// Longest wait for capacity near the data, whatever the expected gain is. An estimate can be the largest number.
const MAX_WAIT: Millis = Millis(10_000);
/// Smallest advantage for which work waits: the time for noticing that capacity is free and starting the work there.
const MIN_ADVANTAGE: Millis = Millis(50);

/// What is known when a work item, or a gang, can start now, but far from its data or on several racks.
#[derive(Clone, Copy, Debug)]
pub struct WaitInputs {
    /// Expected duration near the data.
    pub duration: Millis,
    /// Duration far from the data, in percent of that near it.
    pub far_percent: u32,
    /// Expected time until capacity near the data is free for this work; `None` if none is expected.
    pub expected_wait: Option<Millis>,
    /// How long the work has waited so far.
    pub waited: Millis,
    /// Longest wait; set when the wait began.
    pub bound: Millis,
}

/// Whether work waits for capacity near its data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitDecision {
    /// It starts now.
    Start,
    /// It waits, and the decision is taken again when something changes.
    Wait,
}

/// Returns how much longer work takes far from its data.
fn expected_gain(duration: Millis, far_percent: u32) -> Millis {
    let extra_percent = u64::from(far_percent.saturating_sub(100));
    Millis(duration.0.saturating_mul(extra_percent) / 100)
}

/// Returns the longest wait of work with this expected duration, when `slack` is left until the latest start with which
/// its job is on time. A wait that is as long as the expected gain and does not pay costs at most as much again as the
/// start far from the data at once would have. A job that is on time by that start stays so after a wait that does not
/// pay; one that is not ends earlier only by a wait that does.
pub fn wait_bound(duration: Millis, far_percent: u32, slack: Millis) -> Millis {
    let gain = expected_gain(duration, far_percent);
    let on_time = slack.0.checked_sub(gain.0).map(Millis);
    gain.min(on_time.unwrap_or(gain)).min(MAX_WAIT)
}

impl WaitInputs {
    /// Decides whether the work waits. Designed for 5,000 waiting work items in a pass.
    pub fn decide(&self) -> WaitDecision {
        let gain = expected_gain(self.duration, self.far_percent);
        let Some(expected_wait) = self.expected_wait else {
            return WaitDecision::Start;
        };
        let left = Millis(self.bound.0.saturating_sub(self.waited.0));
        if expected_wait + MIN_ADVANTAGE < gain && expected_wait < left {
            WaitDecision::Wait
        } else {
            WaitDecision::Start
        }
    }
}
