//! Guards against leases that are too long on runners that were idle for long and whose clocks are slow: no successor of the
//! owner waits for their end.

mod fleet;

use {
    fleet::{TestFleet, empty_response, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::runners::{RUNNER_LEASE, lapse_delay, max_lapse_delay},
};

/// Time for which the runner has no work.
const IDLE_TIME: u64 = 97_000;
/// Time between two ticks of the owner.
const TICK: u64 = 100;
/// Longest time between two readings of the clock of an idle runner.
const READING_INTERVAL: Millis = Millis(30_000);
/// The most by which a lease may be shorter than on a runner that has just answered.
const MAX_SHORTENING: u64 = 600;

/// A runner whose clock is 2% slow.
struct SlowRunner {
    fleet: TestFleet,
}

impl SlowRunner {
    fn new() -> Self {
        let mut runner = Self {
            fleet: TestFleet::new(1, &["r1"]),
        };
        runner.fleet.advance(1);
        runner.answer();
        runner
    }

    fn clock(&self) -> u64 {
        self.fleet.now.0 * 98 / 100
    }

    /// Answers the hold calls and returns their number.
    fn answer(&mut self) -> usize {
        let holds = self.fleet.holds();
        let clock = self.clock();
        self.fleet.answer_holds(|_| Some(empty_response(clock)));
        holds
    }

    /// Passes idle time; returns the longest time between two hold calls.
    fn idle(&mut self, millis: u64) -> Millis {
        let end = self.fleet.now + Millis(millis);
        let (mut answered, mut longest) = (self.fleet.now, Millis(0));
        while self.fleet.now < end {
            self.fleet.advance(TICK);
            longest = longest.max(self.fleet.now.since(answered));
            if self.answer() > 0 {
                answered = self.fleet.now;
            }
        }
        longest
    }

    /// Submits work; returns the leases of its starts on the runner's clock.
    fn leases(&mut self) -> Vec<u64> {
        let starts = self.fleet.submit_work(1, vec![step(1, 1_000)]);
        let clock = self.clock();
        let lease = |deadline: u64| deadline.saturating_sub(clock);
        starts.iter().map(|it| lease(it.deadline_ms)).collect()
    }
}

/// Guards against a reading of the clock that is carried forward as if the clock weren't slow.
#[test]
fn lease_after_idle_time() {
    let mut runner = SlowRunner::new();
    runner.idle(IDLE_TIME);
    let leases = runner.leases();
    assert_eq!(leases.len(), 1);
    assert!(leases[0] <= RUNNER_LEASE.0, "a lease of {} ms", leases[0]);
    assert!(
        leases[0] + MAX_SHORTENING >= RUNNER_LEASE.0,
        "a lease of only {} ms",
        leases[0]
    );
}

/// Guards against the same for idle times up to ten minutes.
#[test]
fn lease_after_any_time() {
    for seconds in (0..600).step_by(7) {
        let mut runner = SlowRunner::new();
        runner.idle(seconds * 1_000);
        for lease in runner.leases() {
            let lapse = lapse_delay(Millis(lease));
            assert!(lapse <= max_lapse_delay(), "{lease} ms after {seconds} s");
        }
    }
}

/// Guards against leases that shrink to nothing, or work that waits, because an idle runner's clock is not read.
#[test]
fn idle_clock_read() {
    let longest = SlowRunner::new().idle(IDLE_TIME);
    assert!(longest <= READING_INTERVAL, "not read for {longest}");
}

/// Guards against a start by a reading from before the owner's process was suspended.
#[test]
fn reading_before_pause() {
    let mut runner = SlowRunner::new();
    runner.fleet.now = runner.fleet.now + Millis(IDLE_TIME);
    assert_eq!(runner.leases(), [], "a start by an old reading");
    runner.answer();
    runner.fleet.advance(TICK);
    let starts = runner.fleet.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].deadline_ms <= runner.clock() + RUNNER_LEASE.0);
}
