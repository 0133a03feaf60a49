use {
    super::{Fault, PlanSize, PlannedFault},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Combined with the seed, so that late calls are drawn apart from the other faults, which stay the same.
const LATE_CALL_SEED_MASK: u64 = 0x006c_6174_6500;
/// Time between the starts of two series. They overlap, as a call is executed up to 12 s late.
const SERIES_INTERVAL_MS: Range<u64> = 2_500..7_000;
/// Time during which calls are drawn to be executed late.
const DURATION_MS: Range<u64> = 1_500..4_000;
/// Share of the calls that are executed late.
const SHARE_PERCENT: Range<u32> = 40..90;
/// Time from the start of a series to the crash of a runner, so that calls for the instance that ends are late.
const CRASH_DELAY_MS: Range<u64> = 200..1_500;
/// Time from the crash of a runner to its return: shorter than the record of the ended instance stays, so that it is back
/// under its id.
const CRASH_DOWNTIME_MS: Range<u64> = 20..900;
/// Largest number of runners that restart in a series.
const MAX_RESTARTS: usize = 4;
/// Time from the return of a runner until it is cut off: work has been placed there.
const CUT_DELAY_MS: Range<u64> = 1_000..10_000;
/// How long a runner is cut off: for most of the longest lease, so that its work is started elsewhere meanwhile.
const CUT_DURATION_MS: Range<u64> = 5_000..9_000;
/// Time from the start of a series to the first signal to an entry host. Its last calls are late then.
const SIGNAL_DELAY_MS: Range<u64> = 600..1_000;
/// Largest number of signals in a series.
const MAX_SIGNALS: usize = 3;
/// Time between two signals of a series.
const SIGNAL_INTERVAL_MS: Range<u64> = 100..1_200;
/// Time between the kill of a process and its restart.
const DOWNTIME_MS: Range<u64> = 50..2_500;

/// Calls to the runners of some hosts get no response and are executed late, also by their next instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LateCallSeries {
    /// Indexes of the hosts.
    pub hosts: Vec<usize>,
    /// Share of the calls that are executed late, in percent.
    pub percent: u32,
    /// Seed of the draws for each call.
    pub seed: u64,
    /// How long calls are drawn; they are executed up to 12 s later.
    pub duration: Duration,
    /// Runners of these hosts that restart meanwhile.
    pub restarts: Vec<RunnerRestart>,
    /// Signals to entry hosts meanwhile.
    pub signals: Vec<EntrySignal>,
}

/// The crash of a runner that is back under its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerRestart {
    /// Index of the host.
    pub host: usize,
    /// Time from the start of the series to the crash.
    pub delay: Duration,
    /// Time from the crash to the return of the runner.
    pub downtime: Duration,
    /// Time from the return until no call reaches the runner, and for how long.
    pub cut: Option<(Duration, Duration)>,
}

/// The entry host that a signal is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalTarget {
    /// The one with this index; as a rule one that sends calls for the owner.
    Entry(usize),
    /// The one that owns the fleet at that time.
    Owner,
}

/// A signal to an entry host, which is restarted once its process has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySignal {
    /// The entry host.
    pub target: SignalTarget,
    /// Time from the start of the series.
    pub delay: Duration,
    /// Time from the kill to the restart; `None` for SIGTERM, after which the process has its time to end.
    pub killed_for: Option<Duration>,
}

/// Draws series of late calls, some of which overlap.
pub(super) fn draw_late_calls(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ LATE_CALL_SEED_MASK);
    let mut faults = Vec::new();
    let end_ms = size.duration.as_millis() as u64;
    let mut at_ms = random.random_range(0..SERIES_INTERVAL_MS.start);
    while at_ms < end_ms {
        faults.push(PlannedFault {
            at: Duration::from_millis(at_ms),
            fault: Fault::LateCalls(draw_series(&mut random, size)),
        });
        at_ms += random.random_range(SERIES_INTERVAL_MS);
    }
    faults
}

fn draw_series(random: &mut StdRng, size: PlanSize) -> LateCallSeries {
    let hosts: Vec<usize> = (0..size.hosts)
        .filter(|_| random.random_bool(0.6))
        .collect();
    let count = random.random_range(1..=MAX_RESTARTS);
    let restarts = (0..count)
        .filter_map(|_| {
            let position = random.random_range(0..hosts.len().max(1));
            let host = *hosts.get(position)?;
            Some(draw_restart(random, host))
        })
        .collect();
    LateCallSeries {
        percent: random.random_range(SHARE_PERCENT),
        seed: random.random(),
        duration: draw_duration(random, DURATION_MS),
        restarts,
        signals: draw_signals(random, size),
        hosts,
    }
}

fn draw_restart(random: &mut StdRng, host: usize) -> RunnerRestart {
    RunnerRestart {
        host,
        delay: draw_duration(random, CRASH_DELAY_MS),
        downtime: draw_duration(random, CRASH_DOWNTIME_MS),
        cut: random.random_bool(0.6).then(|| {
            let delay = draw_duration(random, CUT_DELAY_MS);
            (delay, draw_duration(random, CUT_DURATION_MS))
        }),
    }
}

fn draw_signals(random: &mut StdRng, size: PlanSize) -> Vec<EntrySignal> {
    let mut delay = draw_duration(random, SIGNAL_DELAY_MS);
    let mut signals = Vec::new();
    for _ in 0..random.random_range(0..=MAX_SIGNALS) {
        let entry = random.random_range(0..size.entries);
        signals.push(EntrySignal {
            target: if random.random_bool(0.4) {
                SignalTarget::Owner
            } else {
                SignalTarget::Entry(entry)
            },
            delay,
            killed_for: random
                .random_bool(0.7)
                .then(|| draw_duration(random, DOWNTIME_MS)),
        });
        delay += draw_duration(random, SIGNAL_INTERVAL_MS);
    }
    signals
}

fn draw_duration(random: &mut StdRng, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range_ms))
}
