use {
    crate::simulation::{DATA_CENTRES, PoolSpec, RACK_HOSTS, VirtualFleet, VirtualRandom},
    goldcreststall_core::{
        capacity::BufferInput,
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime, Millis},
        membership::{HostState, MembershipRecord},
        rollout::{RolloutInput, plan_waves},
    },
};

const MINUTE: Millis = Millis(60 * 1000);
/// Duration of a run; each host is maintained once in it.
const RUN_MINUTES: u64 = 14 * 24 * 60;
const WAVE_MINUTE: u64 = 24 * 60;
const REBOOT_LIMIT: Millis = Millis(15 * 60 * 1000);
const REBOOT_MINUTES: (u64, u64) = (3, 7);
/// Failures of a host per minute and repair times: 7 failures a day among 1,400 hosts.
const FAILURE_SHARE: f64 = 7.0 / 1_400.0 / 1_440.0;
const REPAIR_MINUTES: (u64, u64) = (120, 360);
/// Unplanned restarts of a host per minute and their duration: 230 a day among 1,400 hosts.
const RESTART_SHARE: f64 = 230.0 / 1_400.0 / 1_440.0;
const RESTART_MINUTES: (u64, u64) = (5, 15);
/// One rack and one data centre are lost in each run.
const RACK_LOSS_MINUTES: u64 = 2 * 60;
const DATA_CENTRE_LOSS_MINUTES: u64 = 4 * 60;
/// Standard deviation of the need around its forecast, relative to the forecast.
const FORECAST_DEVIATION: f64 = 0.08;
/// Share of a forecast error that is left after a minute; errors last about an hour.
const FORECAST_MEMORY: f64 = 59.0 / 60.0;
/// Share of the time during which the buffer may be too small.
pub(super) const SHORTFALL: f64 = 0.001;
/// Hosts that a wave stops at the same time where the sum of buffers has units for it.
const MAINTAINED: u32 = 2;
/// Share of the time during which a wave runs.
const MAINTENANCE: f64 = 0.01;

/// Returns what the buffer of a pool has to cover in these runs.
pub(super) fn buffer_input(pool: &PoolSpec) -> BufferInput {
    let hosts = f64::from(pool.min_available);
    let middle = |range: (u64, u64)| (range.0 + range.1) as f64 / 2.0;
    let run = RUN_MINUTES as f64;
    let down = FAILURE_SHARE * middle(REPAIR_MINUTES) + RESTART_SHARE * middle(RESTART_MINUTES);
    BufferInput {
        data_centre_loss: DATA_CENTRE_LOSS_MINUTES as f64 / run,
        data_centres: DATA_CENTRES as u32,
        // The buffer fails like the hosts that are needed; half as many again is an estimate of its size.
        mean_failures: 1.5 * hosts * down,
        forecast_deviation: hosts * FORECAST_DEVIATION,
        concurrent_stops: MAINTAINED,
        maintenance_fraction: MAINTENANCE,
        min_available: pool.min_available,
        rack_hosts: RACK_HOSTS as u32,
        rack_loss: RACK_LOSS_MINUTES as f64 / run,
        max_shortfall: SHORTFALL,
    }
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BufferResult {
    /// Minutes and pools in which a loss alone left fewer hosts than the budget.
    pub(super) broken: u64,
    /// Waves that were not finished.
    pub(super) unfinished: u64,
    /// Share of the time and pools in which fewer hosts were available than needed.
    pub(super) short: f64,
}

/// The loss of a failure domain.
#[derive(Clone, Debug)]
struct DomainLoss {
    end: u64,
    /// A host of the lost domain.
    host: HostState,
    start: u64,
    whole: bool,
}

impl DomainLoss {
    fn covers(&self, host: &HostState) -> bool {
        let rack = self.whole || self.host.rack == host.rack;
        self.host.data_centre == host.data_centre && rack
    }
}

/// Pools with buffers over two weeks with one rack and one data-centre loss.
#[derive(Debug)]
pub(super) struct BufferRun {
    errors: Vec<f64>,
    losses: Vec<DomainLoss>,
    pools: Vec<PoolSpec>,
    random: VirtualRandom,
    repairs: SortedMap<HostName, u64>,
    result: BufferResult,
    sim: VirtualFleet,
}

impl BufferRun {
    /// Creates a run; `pools` have their buffers and the survive rule for data centres.
    pub(super) fn new(pools: Vec<PoolSpec>, seed: u64) -> Self {
        let sim = VirtualFleet::new(&pools);
        let mut random = VirtualRandom::new(seed, 5);
        let hosts = sim.hosts();
        let mut loss = |first: u64, last: u64, minutes: u64, whole: bool| {
            let start = random.between((first, last));
            let index = random.between((0, hosts.len() as u64 - 1));
            DomainLoss {
                end: start + minutes,
                host: hosts[index as usize].1.clone(),
                start,
                whole,
            }
        };
        // One loss in each week, so that they do not meet.
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
            repairs: SortedMap::default(),
            result: BufferResult::default(),
            sim,
        }
    }

    pub(super) fn run(mut self) -> BufferResult {
        let mut short = 0;
        for minute in 0..RUN_MINUTES {
            if minute == WAVE_MINUTE {
                self.sim.start_waves(&self.pools, 1, REBOOT_LIMIT);
            }
            self.lose_domains(minute);
            self.repair(minute);
            self.fail(minute);
            if minute >= WAVE_MINUTE {
                self.maintain(minute);
            }
            short += self.measure(minute);
            self.sim.advance(MINUTE);
        }
        let waves = self.sim.state.membership.waves().values();
        self.result.unfinished = waves.filter(|wave| wave.is_open()).count() as u64;
        self.result.short = short as f64 / (RUN_MINUTES * self.pools.len() as u64) as f64;
        self.result
    }

    fn lose_domains(&mut self, minute: u64) {
        let starting = self.losses.iter().filter(|loss| loss.start == minute);
        let starting: Vec<DomainLoss> = starting.cloned().collect();
        for loss in starting {
            for (name, host) in self.sim.hosts() {
                if loss.covers(&host) {
                    self.take_down(name, loss.end);
                }
            }
        }
    }

    fn take_down(&mut self, host: HostName, until: u64) {
        let state = self.sim.state.membership.hosts().get(&host);
        let Some(seen) = state.map(|state| state.version) else {
            return;
        };
        let until = until.max(self.repairs.get(&host).copied().unwrap_or_default());
        self.repairs.insert(host.clone(), until);
        let _ = self.sim.apply(MembershipRecord::HostDown { host, seen });
    }

    fn repair(&mut self, minute: u64) {
        let ended = self.repairs.iter().filter(|(_, end)| **end <= minute);
        let ended: Vec<HostName> = ended.map(|(name, _)| name.clone()).collect();
        for host in ended {
            self.repairs.remove(&host);
            self.renew(host);
        }
    }

    fn renew(&mut self, host: HostName) {
        let state = self.sim.state.membership.hosts().get(&host);
        let Some(seen) = state.map(|state| state.version) else {
            return;
        };
        let incarnation = Incarnation(seen.incarnation.0 + 1);
        let _ = self.sim.apply(MembershipRecord::HostUp {
            host,
            incarnation,
            seen,
        });
    }

    fn fail(&mut self, minute: u64) {
        let hosts = self.sim.state.membership.hosts();
        let causes = [
            (FAILURE_SHARE, REPAIR_MINUTES),
            (RESTART_SHARE, RESTART_MINUTES),
        ];
        let mut failed = Vec::new();
        for (share, repair) in causes {
            if self.random.happens(share * hosts.len() as f64) {
                let index = self.random.between((0, hosts.len() as u64 - 1)) as usize;
                let name = hosts.iter().nth(index).map(|(name, _)| name.clone());
                failed.extend(name.map(|name| (name, minute + self.random.between(repair))));
            }
        }
        for (name, until) in failed {
            self.take_down(name, until);
        }
    }

    /// Stops hosts as the planner says; they drain for a minute.
    fn maintain(&mut self, minute: u64) {
        let hosts = self.sim.state.membership.hosts().iter();
        let stops = hosts.filter_map(|(name, host)| {
            let stop = host.stop().filter(|_| host.down.is_none())?;
            Some((name.clone(), host.version, stop.drained))
        });
        let stops: Vec<(HostName, _, Option<LogTime>)> = stops.collect();
        for (host, seen, drained) in stops {
            if drained.is_none() {
                let _ = self.sim.apply(MembershipRecord::StopDrained {
                    host: host.clone(),
                    seen,
                });
                let reboot = self.random.between(REBOOT_MINUTES);
                self.repairs.insert(host, minute + reboot);
            }
        }
        let plan = plan_waves(RolloutInput {
            config: self.sim.state.config.fleet(),
            list_time: self.sim.now,
            membership: &self.sim.state.membership,
            now: self.sim.now,
        });
        for record in plan.records {
            let _ = self.sim.apply(record);
        }
    }

    /// Counts the pools that have fewer hosts than they need.
    fn measure(&mut self, minute: u64) -> u64 {
        let mut short = 0;
        for index in 0..self.pools.len() {
            let pool = self.pools[index];
            let deviation = f64::from(pool.min_available) * FORECAST_DEVIATION;
            let fresh = (1.0 - FORECAST_MEMORY * FORECAST_MEMORY).sqrt() * deviation;
            let error = FORECAST_MEMORY * self.errors[index] + fresh * self.random.normal();
            self.errors[index] = error;
            let need = f64::from(pool.min_available) + error.max(0.0);
            let available = self.available(&pool);
            short += u64::from(f64::from(available) < need);
            let others = self.failed_outside(&pool, minute);
            self.result.broken += u64::from(available + others < pool.min_available);
        }
        short
    }

    fn available(&self, pool: &PoolSpec) -> u32 {
        let name = pool.pool();
        let members = self.sim.state.membership.members(&name);
        members.filter(|(_, host)| host.is_available()).count() as u32
    }

    /// Returns the hosts of a pool that are down for another reason than a lost domain.
    fn failed_outside(&self, pool: &PoolSpec, minute: u64) -> u32 {
        let name = pool.pool();
        let lost = |host: &HostState| {
            let losses = self.losses.iter();
            let mut present = losses.filter(|loss| (loss.start..loss.end).contains(&minute));
            present.any(|loss| loss.covers(host))
        };
        let members = self.sim.state.membership.members(&name);
        members
            .filter(|(_, host)| host.down.is_some() && !lost(host))
            .count() as u32
    }
}
