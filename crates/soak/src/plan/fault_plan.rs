use {
    super::{Fault, HostFaultKind, PlannedFault, StoreFaultKind, WirePart},
    goldcreststall_standins::process::RelayMode,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::time::Duration,
};

/// Mean time between the beginnings of two faults, in milliseconds. Faults last longer, so that they overlap.
const FAULT_GAP_MS: u64 = 900;
/// Length of a fault that lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..5_000;
/// Time that a killed process is away, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 50..2_500;
/// Faults that follow each other closely, at most.
const LONGEST_SERIES: usize = 4;
/// Time between the faults of a series, in milliseconds.
const SERIES_GAP_MS: u64 = 150;
/// Delay of a slow connection, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..400;
const BURST_JOBS: std::ops::Range<usize> = 20..80;

/// The sizes that a plan needs to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanSize {
    /// Entry hosts.
    pub entries: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Time in which faults come.
    pub duration: Duration,
}

/// All faults of a run, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a run. With `only`, other kinds than those whose name contains it are left out.
    pub fn draw(seed: u64, size: PlanSize, only: Option<&str>) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let end = size.duration.as_millis() as u64;
        let mut at = 0;
        while at < end {
            let series = if random.random_bool(0.2) {
                random.random_range(2..=LONGEST_SERIES)
            } else {
                1
            };
            for step in 0..series {
                let fault = draw_fault(&mut random, size);
                let wanted = only.is_none_or(|only| fault.name().contains(only));
                if wanted {
                    faults.push(PlannedFault {
                        at: Duration::from_millis(at + step as u64 * SERIES_GAP_MS),
                        fault,
                    });
                }
            }
            at += random.random_range(FAULT_GAP_MS / 3..FAULT_GAP_MS * 5 / 3);
        }
        faults.sort_by_key(|planned| planned.at);
        Self { faults }
    }

    /// Returns the rounds of hosts that the waves need when they follow each other.
    pub fn wave_rounds(&self) -> u32 {
        let rounds = self.faults.iter().map(|planned| match &planned.fault {
            Fault::Wave(hosts, cap) => (hosts.len() as u32).div_ceil(*cap),
            _ => 0,
        });
        rounds.sum()
    }
}

fn draw_fault(random: &mut StdRng, size: PlanSize) -> Fault {
    let entry = random.random_range(0..size.entries);
    let host = random.random_range(0..size.hosts);
    let lasting = Duration::from_millis(random.random_range(FAULT_MS));
    let down = Duration::from_millis(random.random_range(DOWN_MS));
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill(vec![entry], down),
        2 => Fault::Kill(draw_many(random, size.entries), down),
        3 => Fault::Terminate(entry),
        4 | 5 => Fault::Pause(entry, lasting),
        6 => Fault::Reload(entry),
        7..=9 => Fault::Wire(draw_part(random, entry, host), draw_mode(random), lasting),
        10 => Fault::SilenceOpen(draw_part(random, entry, host)),
        11 | 12 => Fault::Store(draw_store(random), lasting),
        13 => Fault::ForgetHistory,
        14 | 15 => Fault::Host(host, draw_host(random), lasting),
        16 => Fault::CrashHost(host, down),
        17 => Fault::Configure,
        18 => {
            let hosts = draw_many(random, size.hosts);
            let cap = random.random_range(1..=3);
            Fault::Wave(hosts, cap)
        }
        _ => Fault::Burst(random.random_range(BURST_JOBS)),
    }
}

/// Draws a part of `count` things, or all of them.
fn draw_many(random: &mut StdRng, count: usize) -> Vec<usize> {
    if random.random_bool(0.3) {
        return (0..count).collect();
    }
    (0..count).filter(|_| random.random_bool(0.4)).collect()
}

fn draw_part(random: &mut StdRng, entry: usize, host: usize) -> WirePart {
    match random.random_range(0..6) {
        0 => WirePart::Link(entry),
        1 | 2 => WirePart::Store(entry),
        3 => WirePart::HostService(entry),
        4 => WirePart::Callers(entry),
        _ => WirePart::Runner(host),
    }
}

fn draw_mode(random: &mut StdRng) -> RelayMode {
    let delay = random.random_range(DELAY_MS);
    let modes = [
        RelayMode::Cut,
        RelayMode::Delay(delay),
        RelayMode::HoldReplies,
        RelayMode::HoldRequests,
        RelayMode::Silent,
    ];
    modes.choose(random).copied().unwrap_or(RelayMode::Cut)
}

fn draw_store(random: &mut StdRng) -> StoreFaultKind {
    let troubles = [
        StoreFaultKind::AppliesLate,
        StoreFaultKind::LosesAnswers,
        StoreFaultKind::Refuses,
        StoreFaultKind::Slow,
    ];
    troubles
        .choose(random)
        .copied()
        .unwrap_or(StoreFaultKind::Refuses)
}

fn draw_host(random: &mut StdRng) -> HostFaultKind {
    let troubles = [
        HostFaultKind::AppliesLate,
        HostFaultKind::Fails,
        HostFaultKind::Hangs,
        HostFaultKind::LosesAnswers,
        HostFaultKind::Slow,
    ];
    troubles
        .choose(random)
        .copied()
        .unwrap_or(HostFaultKind::Fails)
}
