use {
    crate::simulation::{DATA_CENTRES, HOSTS_PER_RACK, PoolSpec, SeededRandom, VirtualFleet},
    goldcreststall_core::{
        capacity::BufferInput,
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime, Millis},
        membership::{HostState, MembershipRecord},
        rollout::{RolloutInput, plan_waves},
    },
};

const MINUTE: Millis = Millis(60 * 1000);
/// Duration of a run; each host is maintained once per run.
const RUN_MINUTES: u64 = 14 * 24 * 60;
const WAVE_START_MINUTE: u64 = 24 * 60;
const REBOOT_LIMIT: Millis = Millis(15 * 60 * 1000);
const REBOOT_MINUTES: (u64, u64) = (3, 7);
/// Failures of a host per minute (7 a day among 1,400 hosts).
const FAILURES_PER_MINUTE: f64 = 7.0 / 1_400.0 / 1_440.0;
/// Shortest and longest repair after a failure.
const REPAIR_MINUTES: (u64, u64) = (120, 360);
/// Unplanned restarts of a host per minute (230 a day among 1,400 hosts).
const RESTARTS_PER_MINUTE: f64 = 230.0 / 1_400.0 / 1_440.0;
/// Shortest and longest unplanned restart.
const RESTART_MINUTES: (u64, u64) = (5, 15);
/// How long the rack that each run loses is away.
const RACK_LOSS_MINUTES: u64 = 2 * 60;
/// How long the data centre that each run loses is away.
const DATA_CENTRE_LOSS_MINUTES: u64 = 4 * 60;
/// Standard deviation of the need around its forecast, relative to the forecast.
const FORECAST_DEVIATION: f64 = 0.08;
/// Fraction of a forecast error that is left after a minute; errors last about an hour.
const FORECAST_PERSISTENCE: f64 = 59.0 / 60.0;
/// Fraction of the time during which the buffer may be too small.
pub(super) const MAX_SHORTFALL_FRACTION: f64 = 0.001;
/// Number of hosts that a wave is assumed to stop at the same time; the sum of separate buffers has a host for each.
const CONCURRENT_STOPS: u32 = 2;
/// Fraction of the time during which a wave runs.
const MAINTENANCE_FRACTION: f64 = 0.01;

/// Returns the events that the buffer of a pool has to cover in these runs.
pub(super) fn buffer_input(pool: &PoolSpec) -> BufferInput {
    let hosts = f64::from(pool.min_available);
    let midpoint = |range: (u64, u64)| (range.0 + range.1) as f64 / 2.0;
    let run_minutes = RUN_MINUTES as f64;
    let down_fraction = FAILURES_PER_MINUTE * midpoint(REPAIR_MINUTES)
        + RESTARTS_PER_MINUTE * midpoint(RESTART_MINUTES);
    BufferInput {
        data_centre_loss: DATA_CENTRE_LOSS_MINUTES as f64 / run_minutes,
        data_centres: DATA_CENTRES as u32,
        // The hosts of the buffer fail too; the factor 1.5 estimates the buffer at half the number of needed hosts.
        mean_failures: 1.5 * hosts * down_fraction,
        forecast_deviation: hosts * FORECAST_DEVIATION,
        concurrent_stops: CONCURRENT_STOPS,
        maintenance_fraction: MAINTENANCE_FRACTION,
        min_available: pool.min_available,
        rack_hosts: HOSTS_PER_RACK as u32,
        rack_loss: RACK_LOSS_MINUTES as f64 / run_minutes,
        max_shortfall: MAX_SHORTFALL_FRACTION,
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BufferResult {
    /// Pool-minutes in which the loss of a domain and planned stops left fewer hosts than the budget; hosts that are
    /// down for another reason count as available.
    pub(super) budget_violations: u64,
    /// Waves that were not finished at the end of the run.
    pub(super) unfinished_waves: u64,
    /// Fraction of the pool-minutes in which fewer hosts were available than needed.
    pub(super) short_fraction: f64,
}

/// The loss of a rack or a data centre from minute `start` to minute `end`.
#[derive(Clone, Debug)]
struct DomainLoss {
    end: u64,
    /// A host in the lost domain.
    host: HostState,
    start: u64,
    whole_data_centre: bool,
}

impl DomainLoss {
    fn covers(&self, host: &HostState) -> bool {
        let covers_rack = self.whole_data_centre || self.host.rack == host.rack;
        self.host.data_centre == host.data_centre && covers_rack
    }
}

/// Pools with buffers over two weeks, with the loss of one rack and of one data centre.
#[derive(Debug)]
pub(super) struct BufferRun {
    /// Current forecast error of each pool, in hosts.
    errors: Vec<f64>,
    losses: Vec<DomainLoss>,
    pools: Vec<PoolSpec>,
    random: SeededRandom,
    /// Minute at which each host that is down or reboots comes back.
    repair_ends: SortedMap<HostName, u64>,
    result: BufferResult,
    fleet: VirtualFleet,
}

impl BufferRun {
    /// Creates a run; `pools` include their buffers and have the survive rule for data centres.
    pub(super) fn new(pools: Vec<PoolSpec>, seed: u64) -> Self {
        let fleet = VirtualFleet::new(&pools);
        let mut random = SeededRandom::new(seed, 5);
        let hosts = fleet.hosts();
        let mut loss = |earliest: u64, latest: u64, minutes: u64, whole_data_centre: bool| {
            let start = random.between((earliest, latest));
            let index = random.between((0, hosts.len() as u64 - 1));
            DomainLoss {
                end: start + minutes,
                host: hosts[index as usize].1.clone(),
                start,
                whole_data_centre,
            }
        };
        // One loss in each week, so that they do not overlap.
        let half = RUN_MINUTES / 2;
        let losses = vec![
            loss(0, half - RACK_LOSS_MINUTES, RACK_LOSS_MINUTES, false),
            loss(
                half,
                RUN_MINUTES - DATA_CENTRE_LOSS_MINUTES,
                DATA_CENTRE_LOSS_MINUTES,
                true,
            ),
        ];
        Self {
            errors: vec![0.0; pools.len()],
            losses,
            pools,
            random,
            repair_ends: SortedMap::default(),
            result: BufferResult::default(),
            fleet,
        }
    }

    pub(super) fn run(mut self) -> BufferResult {
        let mut short_count = 0;
        for minute in 0..RUN_MINUTES {
            if minute == WAVE_START_MINUTE {
                self.fleet.start_waves(&self.pools, 1, REBOOT_LIMIT);
            }
            self.start_domain_losses(minute);
            self.repair_hosts(minute);
            self.fail_hosts(minute);
            if minute >= WAVE_START_MINUTE {
                self.run_maintenance(minute);
            }
            short_count += self.count_short_pools(minute);
            self.fleet.advance(MINUTE);
        }
        let waves = self.fleet.state.membership.waves().values();
        self.result.unfinished_waves = waves.filter(|wave| wave.is_open()).count() as u64;
        self.result.short_fraction =
            short_count as f64 / (RUN_MINUTES * self.pools.len() as u64) as f64;
        self.result
    }

    fn start_domain_losses(&mut self, minute: u64) {
        let starting = self.losses.iter().filter(|loss| loss.start == minute);
        let starting: Vec<DomainLoss> = starting.cloned().collect();
        for loss in starting {
            for (name, host) in self.fleet.hosts() {
                if loss.covers(&host) {
                    self.mark_down(name, loss.end);
                }
            }
        }
    }

    fn mark_down(&mut self, host: HostName, until: u64) {
        let state = self.fleet.state.membership.hosts().get(&host);
        let Some(seen) = state.map(|state| state.version) else {
            return;
        };
        let until = until.max(self.repair_ends.get(&host).copied().unwrap_or_default());
        self.repair_ends.insert(host.clone(), until);
        let _ = self.fleet.apply(MembershipRecord::HostDown { host, seen });
    }

    fn repair_hosts(&mut self, minute: u64) {
        let ended = self.repair_ends.iter().filter(|(_, end)| **end <= minute);
        let ended: Vec<HostName> = ended.map(|(name, _)| name.clone()).collect();
        for host in ended {
            self.repair_ends.remove(&host);
            self.mark_up(host);
        }
    }

    fn mark_up(&mut self, host: HostName) {
        let state = self.fleet.state.membership.hosts().get(&host);
        let Some(seen) = state.map(|state| state.version) else {
            return;
        };
        let incarnation = Incarnation(seen.incarnation.0 + 1);
        let _ = self.fleet.apply(MembershipRecord::HostUp {
            host,
            incarnation,
            seen,
        });
    }

    fn fail_hosts(&mut self, minute: u64) {
        let hosts = self.fleet.state.membership.hosts();
        let causes = [
            (FAILURES_PER_MINUTE, REPAIR_MINUTES),
            (RESTARTS_PER_MINUTE, RESTART_MINUTES),
        ];
        let mut failed = Vec::new();
        for (rate, repair) in causes {
            if self.random.happens(rate * hosts.len() as f64) {
                let index = self.random.between((0, hosts.len() as u64 - 1)) as usize;
                let name = hosts.iter().nth(index).map(|(name, _)| name.clone());
                failed.extend(name.map(|name| (name, minute + self.random.between(repair))));
            }
        }
        for (name, until) in failed {
            self.mark_down(name, until);
        }
    }

    /// Stops the hosts chosen by the planner; they drain for a minute.
    fn run_maintenance(&mut self, minute: u64) {
        let hosts = self.fleet.state.membership.hosts().iter();
        let stops = hosts.filter_map(|(name, host)| {
            let stop = host.stop().filter(|_| host.down.is_none())?;
            Some((name.clone(), host.version, stop.drained))
        });
        let stops: Vec<(HostName, _, Option<LogTime>)> = stops.collect();
        for (host, seen, drained) in stops {
            if drained.is_none() {
                let _ = self.fleet.apply(MembershipRecord::StopDrained {
                    host: host.clone(),
                    seen,
                });
                let reboot = self.random.between(REBOOT_MINUTES);
                self.repair_ends.insert(host, minute + reboot);
            }
        }
        let plan = plan_waves(RolloutInput {
            config: self.fleet.state.config.fleet(),
            list_time: self.fleet.now,
            membership: &self.fleet.state.membership,
            now: self.fleet.now,
        });
        for record in plan.records {
            let _ = self.fleet.apply(record);
        }
    }

    /// Counts the pools that have fewer available hosts than they need.
    fn count_short_pools(&mut self, minute: u64) -> u64 {
        let mut short_count = 0;
        for index in 0..self.pools.len() {
            let pool = self.pools[index];
            let deviation = f64::from(pool.min_available) * FORECAST_DEVIATION;
            let noise = (1.0 - FORECAST_PERSISTENCE * FORECAST_PERSISTENCE).sqrt() * deviation;
            let error = FORECAST_PERSISTENCE * self.errors[index] + noise * self.random.normal();
            self.errors[index] = error;
            let need = f64::from(pool.min_available) + error.max(0.0);
            let available = self.count_available(&pool);
            short_count += u64::from(f64::from(available) < need);
            let other_down = self.count_other_down(&pool, minute);
            self.result.budget_violations += u64::from(available + other_down < pool.min_available);
        }
        short_count
    }

    fn count_available(&self, pool: &PoolSpec) -> u32 {
        let name = pool.pool_name();
        let members = self.fleet.state.membership.members(&name);
        members.filter(|(_, host)| host.is_available()).count() as u32
    }

    /// Counts the hosts of a pool that are down for another reason than a lost domain.
    fn count_other_down(&self, pool: &PoolSpec, minute: u64) -> u32 {
        let name = pool.pool_name();
        let lost = |host: &HostState| {
            let losses = self.losses.iter();
            let mut present = losses.filter(|loss| (loss.start..loss.end).contains(&minute));
            present.any(|loss| loss.covers(host))
        };
        let members = self.fleet.state.membership.members(&name);
        members
            .filter(|(_, host)| host.down.is_some() && !lost(host))
            .count() as u32
    }
}
