use {
    super::{Fault, PlanSize, PlannedFault},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Combined with the seed, so that partitions are drawn apart from the other faults, which stay the same.
const PARTITION_SEED_MASK: u64 = 0x0070_6172_7400;
/// Time between the starts of two partitions.
const PARTITION_INTERVAL_MS: Range<u64> = 2_000..5_000;
/// Duration of a partition; a data centre is cut off for up to 6.5 s.
const PARTITION_DURATION_MS: Range<u64> = 2_000..6_500;
/// Time from the start of a partition to the crash of a runner in it: while an owner that is cut off still sends commands.
const CRASH_DELAY_MS: Range<u64> = 0..1_300;
/// Time from the crash of a runner to its return.
const CRASH_DOWNTIME_MS: Range<u64> = 20..1_000;

/// An entry host that is cut off from all parts of the system but the runners of some hosts, which only it reaches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Partition {
    /// Index of the entry host.
    pub entry: usize,
    /// Indexes of the hosts.
    pub hosts: Vec<usize>,
    /// Runners that crash meanwhile and are back under their ids.
    pub crashes: Vec<PartitionCrash>,
    /// How long it lasts.
    pub duration: Duration,
}

/// The crash of a runner during a [`Partition`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartitionCrash {
    /// Index of the host.
    pub host: usize,
    /// Time from the start of the partition to the crash.
    pub delay: Duration,
    /// Time from the crash to the return of the runner.
    pub downtime: Duration,
}

/// Draws partitions of one entry host with a third of the hosts, of whose runners up to two crash.
pub(super) fn draw_partitions(seed: u64, size: PlanSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ PARTITION_SEED_MASK);
    let mut faults = Vec::new();
    let end_ms = size.duration.as_millis() as u64;
    let mut at_ms = random.random_range(PARTITION_INTERVAL_MS);
    while at_ms < end_ms {
        faults.push(PlannedFault {
            at: Duration::from_millis(at_ms),
            fault: Fault::Partition(draw_partition(&mut random, size)),
        });
        at_ms += random.random_range(PARTITION_INTERVAL_MS);
    }
    faults
}

fn draw_partition(random: &mut StdRng, size: PlanSize) -> Partition {
    let entry = random.random_range(0..size.entries);
    let hosts: Vec<usize> = (0..size.hosts)
        .filter(|_| random.random_bool(1.0 / 3.0))
        .collect();
    let crashed = hosts.iter().take(random.random_range(0..=2));
    let crashes = crashed
        .map(|host| PartitionCrash {
            host: *host,
            delay: Duration::from_millis(random.random_range(CRASH_DELAY_MS)),
            downtime: Duration::from_millis(random.random_range(CRASH_DOWNTIME_MS)),
        })
        .collect();
    Partition {
        entry,
        hosts,
        crashes,
        duration: Duration::from_millis(random.random_range(PARTITION_DURATION_MS)),
    }
}
