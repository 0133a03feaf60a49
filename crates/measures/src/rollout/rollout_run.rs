use {
    crate::simulation::{Deployment, PoolSpec, VirtualFleet, VirtualRandom},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{DataCentre, HostName, Incarnation, LogTime, Millis, PoolName, RackName},
        membership::{HostState, MembershipRecord},
        rollout::{RolloutInput, plan_waves},
    },
};

const TICK: Millis = Millis(1_000);
/// Longest reboot that counts as regular.
const REBOOT_LIMIT: Millis = Millis(10 * 60 * 1000);
/// Regular reboots in seconds.
const REBOOT_SECONDS: (u64, u64) = (180, 420);
/// Reboots beyond the limit in seconds, and their share.
const LATE_REBOOT_SECONDS: (u64, u64) = (900, 2_400);
const LATE_REBOOT_SHARE: f64 = 0.02;
/// Unplanned failures of a host per second, about ten times those of the design size, so that most runs
/// have some.
const FAILURE_SHARE: f64 = 50.0 / 1_400.0 / 86_400.0;
/// Time until a failed host is back, in seconds.
const REPAIR_SECONDS: (u64, u64) = (600, 1_800);
/// Orders over which the duration in random order is averaged.
const RANDOM_ORDERS: u64 = 200;
/// Bound on a run. A wave that is not finished by then counts as stuck.
const MAX_TIME: Millis = Millis(48 * 60 * 60 * 1000);

/// How many hosts of a pool are stopped at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopRule {
    /// As the planner says.
    Planned,
    /// One in each pool.
    OneAtATime,
}

/// How long a host takes in a roll-out.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    drain: Millis,
    reboot: Millis,
}

/// A roll-out over all pools of a deployment.
#[derive(Debug)]
pub(super) struct RolloutRun {
    broken: u64,
    /// When the wave over each pool was finished.
    ends: SortedMap<PoolName, Millis>,
    failures: VirtualRandom,
    repairs: SortedMap<HostName, LogTime>,
    rule: StopRule,
    sim: VirtualFleet,
    times: SortedMap<HostName, StopTimes>,
}

/// The host of a pool that came back last from its stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastStop {
    /// Time from the start of the stop until the host was back.
    pub(super) outage: Millis,
    /// When the stop began.
    pub(super) start: Millis,
}

/// Result of a roll-out over one pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolResult {
    /// Mean duration of the same stops in random order, without failures of hosts.
    pub(super) blind: Millis,
    /// Duration until the wave was finished.
    pub(super) duration: Millis,
    /// The stop that ended last.
    pub(super) last: Option<LastStop>,
    /// Lower bound of the duration with the same drain and reboot times.
    pub(super) lower_bound: Millis,
}

/// Result of a roll-out.
#[derive(Clone, Debug)]
pub(super) struct RolloutResult {
    /// Planned stops that left a pool with less than its budget.
    pub(super) broken: u64,
    /// The pools in the order of the deployment.
    pub(super) pools: Vec<PoolResult>,
}

impl RolloutRun {
    pub(super) fn new(deployment: &Deployment, rule: StopRule, seed: u64) -> Self {
        let sim = VirtualFleet::new(deployment.pools);
        let mut random = VirtualRandom::new(seed, 1);
        let hosts = sim.hosts().into_iter().map(|(name, host)| {
            let pool = deployment
                .pools
                .iter()
                .find(|pool| pool.pool() == host.pool);
            let times = stop_times(pool.unwrap_or(deployment.spare()), &mut random);
            (name, times)
        });
        Self {
            broken: 0,
            ends: SortedMap::default(),
            failures: VirtualRandom::new(seed, 2),
            repairs: SortedMap::default(),
            rule,
            times: hosts.collect(),
            sim,
        }
    }

    /// Runs until all waves are finished.
    pub(super) fn run(mut self, deployment: &Deployment) -> RolloutResult {
        let bounds = deployment.pools.iter().map(|pool| self.bounds(pool));
        let bounds: Vec<(Millis, Millis)> = bounds.collect();
        self.sim.start_waves(deployment.pools, 1, REBOOT_LIMIT);
        while self.sim.elapsed() < MAX_TIME && self.step() {
            self.sim.advance(TICK);
        }
        let pools = deployment.pools.iter().zip(bounds);
        let pools = pools.map(|(pool, (lower_bound, blind))| PoolResult {
            blind,
            duration: self.ends.get(&pool.pool()).copied().unwrap_or(MAX_TIME),
            last: self.last_stop(&pool.pool()),
            lower_bound,
        });
        RolloutResult {
            broken: self.broken,
            pools: pools.collect(),
        }
    }

    fn last_stop(&self, pool: &PoolName) -> Option<LastStop> {
        let members = self.sim.state.membership.members(pool);
        let (name, host) = members.max_by_key(|(_, host)| host.maintained)?;
        let outage = Millis(self.outage(name)?);
        let back = self.sim.elapsed().0 - self.sim.now.since(host.maintained).0;
        let start = Millis(back.saturating_sub(outage.0));
        Some(LastStop { outage, start })
    }

    /// Returns a lower bound of the time that the stops of a pool take, and their mean time in random order.
    ///
    /// The bound knows how long each host will take, which no planner does. Random order is what is left
    /// without this knowledge.
    ///
    /// Under a survive rule the pool loses a domain `d` and the stopped hosts outside it, so that at most
    /// `hosts - hosts in d - min_available` hosts outside `d` are stopped at the same time.
    fn bounds(&self, spec: &PoolSpec) -> (Millis, Millis) {
        let name = spec.pool();
        let members: Vec<(&HostName, &HostState)> =
            self.sim.state.membership.members(&name).collect();
        let domains = members.iter().map(|(_, host)| domain(host, spec));
        let bounds = domains.map(|lost| {
            let outside = members.iter().filter(|(_, host)| {
                let host = domain(host, spec);
                host.is_none() || host != lost
            });
            let outages: Vec<u64> = outside.filter_map(|(host, _)| self.outage(host)).collect();
            let most = outages.len().saturating_sub(spec.min_available as usize);
            let blind = random_schedule(outages.clone(), most.max(1));
            (shortest_schedule(outages, most.max(1)), blind)
        });
        let (bound, blind) = bounds.fold((0, 0), |(bound, blind), next| {
            (bound.max(next.0), blind.max(next.1))
        });
        (Millis(bound), Millis(blind))
    }

    fn outage(&self, host: &HostName) -> Option<u64> {
        let times = self.times.get(host)?;
        Some(times.drain.0 + times.reboot.0)
    }

    /// Takes one step and tells whether a wave is still open.
    fn step(&mut self) -> bool {
        self.observe();
        let plan = plan_waves(RolloutInput {
            config: self.sim.state.config.fleet(),
            list_time: self.sim.now,
            membership: &self.sim.state.membership,
            now: self.sim.now,
        });
        for record in plan.records {
            self.note_end(&record);
            if self.allowed(&record) {
                let stop = matches!(record, MembershipRecord::StopStart { .. });
                let accepted = self.sim.apply(record).is_ok();
                self.broken += u64::from(stop && accepted && !self.budgets_kept());
            }
        }
        !plan.waves.is_empty()
    }

    fn note_end(&mut self, record: &MembershipRecord) {
        if let MembershipRecord::WaveFinish { wave, .. } = record
            && let Some(wave) = self.sim.state.membership.waves().get(wave)
        {
            self.ends.insert(wave.pool.clone(), self.sim.elapsed());
        }
    }

    fn allowed(&self, record: &MembershipRecord) -> bool {
        let MembershipRecord::StopStart { host, .. } = record else {
            return true;
        };
        let membership = &self.sim.state.membership;
        let Some(host) = membership.hosts().get(host) else {
            return false;
        };
        let mut members = membership.members(&host.pool);
        // A host beyond its reboot limit is down and delays the others no longer.
        let busy = members.any(|(_, host)| host.stop().is_some() && host.down.is_none());
        self.rule == StopRule::Planned || !busy
    }

    fn budgets_kept(&self) -> bool {
        let state = &self.sim.state;
        let pools = state.config.fleet().pools.iter();
        let mut broken = pools.filter(|pool| {
            let down = state.membership.members(&pool.name);
            let down = down.filter(|(_, host)| host.down.is_some()).count();
            down == 0 && !state.membership.budget(pool).is_kept()
        });
        broken.next().is_none()
    }

    /// Lets hosts drain, come back and fail, and reports it.
    fn observe(&mut self) {
        for (name, host) in self.sim.hosts() {
            let seen = host.version;
            if let Some(stop) = host.stop() {
                let Some(times) = self.times.get(&name).copied() else {
                    continue;
                };
                let since = |time: LogTime| self.sim.now.since(time);
                let record = match stop.drained {
                    None if since(stop.started) >= times.drain => {
                        MembershipRecord::StopDrained { host: name, seen }
                    }
                    Some(drained) if since(drained) >= times.reboot => MembershipRecord::HostUp {
                        host: name,
                        incarnation: Incarnation(seen.incarnation.0 + 1),
                        seen,
                    },
                    _ => continue,
                };
                let _ = self.sim.apply(record);
            } else {
                self.fail_or_repair(name, &host);
            }
        }
    }

    fn fail_or_repair(&mut self, name: HostName, host: &HostState) {
        let seen = host.version;
        let fails = self.failures.happens(FAILURE_SHARE);
        if host.down.is_none() && fails {
            let repair = Millis(1_000 * self.failures.between(REPAIR_SECONDS));
            self.repairs.insert(name.clone(), self.sim.now + repair);
            let _ = self
                .sim
                .apply(MembershipRecord::HostDown { host: name, seen });
        } else if self
            .repairs
            .get(&name)
            .is_some_and(|end| *end <= self.sim.now)
        {
            self.repairs.remove(&name);
            let incarnation = Incarnation(seen.incarnation.0 + 1);
            let _ = self.sim.apply(MembershipRecord::HostUp {
                host: name,
                incarnation,
                seen,
            });
        }
    }
}

fn stop_times(pool: &PoolSpec, random: &mut VirtualRandom) -> StopTimes {
    let late = random.happens(LATE_REBOOT_SHARE);
    let reboot = if late {
        LATE_REBOOT_SECONDS
    } else {
        REBOOT_SECONDS
    };
    StopTimes {
        drain: Millis(1_000 * random.between(pool.drain)),
        reboot: Millis(1_000 * random.between(reboot)),
    }
}

/// Returns a lower bound of the time that `outages` take when at most `most` of them run at the same time.
///
/// The bound is the largest of two kinds. The work cannot be done faster than `most` at a time. Of the
/// `k * most + 1` longest outages, some `k + 1` run one after the other, for each `k`.
fn shortest_schedule(mut outages: Vec<u64>, most: usize) -> u64 {
    outages.sort_unstable_by(|left, right| right.cmp(left));
    let work = outages.iter().sum::<u64>() / most as u64;
    let rounds = (0..).map_while(|round| {
        let last = round * most;
        outages.get(last)?;
        Some(outages[last - round..=last].iter().sum::<u64>())
    });
    rounds.max().unwrap_or_default().max(work)
}

/// Returns the mean time over random orders of `outages` when each starts as soon as one of `most` places
/// is free.
fn random_schedule(mut outages: Vec<u64>, most: usize) -> u64 {
    let mut random = VirtualRandom::new(RANDOM_ORDERS, 3);
    let times = (0..RANDOM_ORDERS).map(|_| {
        for index in (1..outages.len()).rev() {
            outages.swap(index, random.between((0, index as u64)) as usize);
        }
        let mut places = vec![0; most];
        for outage in &outages {
            if let Some(place) = places.iter_mut().min() {
                *place += outage;
            }
        }
        places.into_iter().max().unwrap_or_default()
    });
    times.sum::<u64>() / RANDOM_ORDERS
}

/// Returns the failure domain of a host that the rule of its pool names.
fn domain<'a>(
    host: &'a HostState,
    spec: &PoolSpec,
) -> Option<(&'a DataCentre, Option<&'a RackName>)> {
    match spec.survive {
        "rack" => Some((&host.data_centre, Some(&host.rack))),
        "data_centre" => Some((&host.data_centre, None)),
        _ => None,
    }
}
