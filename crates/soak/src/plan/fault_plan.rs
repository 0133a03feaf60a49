use {
    super::{
        Fault, HostFaultKind, PlannedFault, StoreFaultKind, WireScope,
        late_call_plan::draw_late_calls, partition_plan::draw_partitions,
    },
    goldcreststall_standins::process::RelayMode,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Mean time between the starts of two faults. Most faults last longer, so that they overlap.
const FAULT_INTERVAL_MS: u64 = 900;
/// Duration of a fault that is undone after a time.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..5_000;
/// Time between the kill of a process and its restart.
const DOWNTIME_MS: std::ops::Range<u64> = 50..2_500;
/// Largest number of faults in a series of closely spaced faults.
const MAX_SERIES_LENGTH: usize = 4;
/// Time between the starts of two faults of a series.
const SERIES_INTERVAL_MS: u64 = 150;
/// Delay of a slow connection.
const CONNECTION_DELAY_MS: std::ops::Range<u64> = 20..400;
/// Combined with the seed, so that the losses of power are drawn apart from the other faults, which stay the same.
const POWER_SEED_MASK: u64 = 0x0070_6f77_6572;
/// Time between two losses of power. The shorter ones are a series: the processes have just started again.
const POWER_LOSS_INTERVAL_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time from a loss of power to the start of the processes.
const POWER_DOWNTIME_MS: std::ops::Range<u64> = 300..1_500;
/// Largest number of times that an entry host loses power in a run, on average over the entry hosts. Runners count the
/// connections of entry hosts without power until the end of a run, so that more losses would exceed any limit.
const MAX_POWER_LOSSES: usize = 2;
const BURST_JOBS: std::ops::Range<usize> = 20..80;

/// The sizes of the system that faults are drawn for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanSize {
    /// Number of entry hosts, at least 1.
    pub entries: usize,
    /// Number of hosts in the fleet, at least 1.
    pub hosts: usize,
    /// Time during which faults are injected; only the rest of a series may start later.
    pub duration: Duration,
    /// Entry hosts lose power as well.
    pub power_losses: bool,
    /// Entry hosts are cut off together with some of the hosts.
    pub partitions: bool,
    /// Calls to runners are executed late while runners and entry hosts restart.
    pub late_calls: bool,
}

/// All faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// The faults, sorted by their start.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a run. With `only`, faults whose name does not contain it are left out.
    pub fn draw(seed: u64, size: PlanSize, only: Option<&str>) -> Self {
        let mut faults = draw_faults(seed, size);
        if size.power_losses {
            faults.extend(draw_power_losses(seed, size));
        }
        if size.partitions {
            faults.extend(draw_partitions(seed, size));
        }
        if size.late_calls {
            faults.extend(draw_late_calls(seed, size));
        }
        faults.retain(|planned| only.is_none_or(|only| planned.fault.name().contains(only)));
        faults.sort_by_key(|planned| planned.at);
        Self { faults }
    }

    /// Returns how many rounds of maintenance all waves need in total if they run one after the other; a round takes as
    /// many hosts as the wave allows at once.
    pub fn wave_rounds(&self) -> u32 {
        let rounds = self.faults.iter().map(|planned| match &planned.fault {
            Fault::Wave(hosts, cap) => (hosts.len() as u32).div_ceil(*cap),
            _ => 0,
        });
        rounds.sum()
    }
}

fn draw_faults(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let end_ms = size.duration.as_millis() as u64;
    let mut at_ms = 0;
    while at_ms < end_ms {
        let series_length = if random.random_bool(0.2) {
            random.random_range(2..=MAX_SERIES_LENGTH)
        } else {
            1
        };
        for position in 0..series_length {
            faults.push(PlannedFault {
                at: Duration::from_millis(at_ms + position as u64 * SERIES_INTERVAL_MS),
                fault: draw_fault(&mut random, size),
            });
        }
        at_ms += random.random_range(FAULT_INTERVAL_MS / 3..FAULT_INTERVAL_MS * 5 / 3);
    }
    faults
}

/// Draws losses of power of one entry host and of all of them.
fn draw_power_losses(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ POWER_SEED_MASK);
    let mut faults = Vec::new();
    let end_ms = size.duration.as_millis() as u64;
    let mut losses = 0;
    let mut at_ms = random.random_range(POWER_LOSS_INTERVAL_MS);
    while at_ms < end_ms {
        let entries = if random.random_bool(0.5) {
            (0..size.entries).collect()
        } else {
            vec![random.random_range(0..size.entries)]
        };
        let downtime = Duration::from_millis(random.random_range(POWER_DOWNTIME_MS));
        if losses + entries.len() <= MAX_POWER_LOSSES * size.entries {
            losses += entries.len();
            faults.push(PlannedFault {
                at: Duration::from_millis(at_ms),
                fault: Fault::LosePower(entries, downtime),
            });
        }
        at_ms += random.random_range(POWER_LOSS_INTERVAL_MS);
    }
    faults
}

fn draw_fault(random: &mut StdRng, size: PlanSize) -> Fault {
    let entry = random.random_range(0..size.entries);
    let host = random.random_range(0..size.hosts);
    let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
    let downtime = Duration::from_millis(random.random_range(DOWNTIME_MS));
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill(vec![entry], downtime),
        2 => Fault::Kill(draw_subset(random, size.entries), downtime),
        3 => Fault::Terminate(entry),
        4 | 5 => Fault::Pause(entry, duration),
        6 => Fault::Reload(entry),
        7..=9 => Fault::Wire(draw_scope(random, entry, host), draw_mode(random), duration),
        10 => Fault::SilenceOpen(draw_scope(random, entry, host)),
        11 | 12 => Fault::Store(draw_store_fault(random), duration),
        13 => Fault::ForgetHistory,
        14 | 15 => Fault::Host(host, draw_host_fault(random), duration),
        16 => Fault::CrashHost(host, downtime),
        17 => Fault::Configure,
        18 => {
            let hosts = draw_subset(random, size.hosts);
            let cap = random.random_range(1..=3);
            Fault::Wave(hosts, cap)
        }
        _ => Fault::Burst(random.random_range(BURST_JOBS)),
    }
}

/// Draws a random subset of the numbers below `count`, or all of them.
fn draw_subset(random: &mut StdRng, count: usize) -> Vec<usize> {
    if random.random_bool(0.3) {
        return (0..count).collect();
    }
    (0..count).filter(|_| random.random_bool(0.4)).collect()
}

fn draw_scope(random: &mut StdRng, entry: usize, host: usize) -> WireScope {
    match random.random_range(0..6) {
        0 => WireScope::Link(entry),
        1 | 2 => WireScope::Store(entry),
        3 => WireScope::HostService(entry),
        4 => WireScope::Callers(entry),
        _ => WireScope::Runner(host),
    }
}

fn draw_mode(random: &mut StdRng) -> RelayMode {
    let delay = random.random_range(CONNECTION_DELAY_MS);
    let modes = [
        RelayMode::Cut,
        RelayMode::Delay(delay),
        RelayMode::HoldReplies,
        RelayMode::HoldRequests,
        RelayMode::Silent,
    ];
    modes.choose(random).copied().unwrap_or(RelayMode::Cut)
}

fn draw_store_fault(random: &mut StdRng) -> StoreFaultKind {
    let kinds = [
        StoreFaultKind::AppliesLate,
        StoreFaultKind::LosesResponses,
        StoreFaultKind::Refuses,
        StoreFaultKind::Slow,
    ];
    kinds
        .choose(random)
        .copied()
        .unwrap_or(StoreFaultKind::Refuses)
}

fn draw_host_fault(random: &mut StdRng) -> HostFaultKind {
    let kinds = [
        HostFaultKind::AppliesLate,
        HostFaultKind::Fails,
        HostFaultKind::Hangs,
        HostFaultKind::LosesResponses,
        HostFaultKind::Slow,
    ];
    kinds
        .choose(random)
        .copied()
        .unwrap_or(HostFaultKind::Fails)
}
