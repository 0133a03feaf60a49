use {
    crate::simulation::{Deployment, PoolSpec, SeededRandom, VirtualFleet},
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
/// Shortest and longest regular reboot.
const REBOOT_SECONDS: (u64, u64) = (180, 420);
/// Shortest and longest reboot that exceeds the limit.
const LATE_REBOOT_SECONDS: (u64, u64) = (900, 2_400);
/// Probability that a reboot exceeds the limit.
const LATE_REBOOT_PROBABILITY: f64 = 0.02;
/// Unplanned failures of a host per second; about ten times the rate of the design size, so that most runs have some.
const FAILURES_PER_SECOND: f64 = 50.0 / 1_400.0 / 86_400.0;
/// Shortest and longest time until a failed host is back.
const REPAIR_SECONDS: (u64, u64) = (600, 1_800);
/// Number of random orders over which the duration is averaged; also seeds their generator.
const RANDOM_ORDERS: u64 = 200;
/// Upper bound of a run. A wave that is not finished by then is assumed to be stuck.
const MAX_DURATION: Millis = Millis(48 * 60 * 60 * 1000);

/// How many hosts of a pool may be stopped at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopRule {
    /// As many as the planner allows.
    Planned,
    /// One per pool.
    OneAtATime,
}

/// Drain and reboot times of a host in a roll-out.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    drain: Millis,
    reboot: Millis,
}

/// A roll-out over all pools of a deployment.
#[derive(Debug)]
pub(super) struct RolloutRun {
    budget_violations: u64,
    /// When the wave over each pool was finished.
    wave_ends: SortedMap<PoolName, Millis>,
    failures: SeededRandom,
    repair_ends: SortedMap<HostName, LogTime>,
    rule: StopRule,
    fleet: VirtualFleet,
    times: SortedMap<HostName, StopTimes>,
}

/// The stop of the host that came back last in its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastStop {
    /// Time from the start of the stop until the host was back.
    pub(super) outage: Millis,
    /// When the stop started.
    pub(super) start: Millis,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PoolResult {
    /// Mean duration of the same stops in random order, without host failures.
    pub(super) random_order: Millis,
    /// Time until the wave was finished.
    pub(super) duration: Millis,
    /// The stop that ended last.
    pub(super) last: Option<LastStop>,
    /// Lower bound of the duration with the same drain and reboot times.
    pub(super) lower_bound: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct RolloutResult {
    /// Planned stops that left a pool below its budget although none of its hosts was down.
    pub(super) budget_violations: u64,
    /// In the order of the pools of the deployment.
    pub(super) pools: Vec<PoolResult>,
}

impl RolloutRun {
    pub(super) fn new(deployment: &Deployment, rule: StopRule, seed: u64) -> Self {
        let fleet = VirtualFleet::new(deployment.pools);
        let mut random = SeededRandom::new(seed, 1);
        let hosts = fleet.hosts().into_iter().map(|(name, host)| {
            let pool = deployment
                .pools
                .iter()
                .find(|pool| pool.pool_name() == host.pool);
            let times = stop_times(pool.unwrap_or(deployment.spare()), &mut random);
            (name, times)
        });
        Self {
            budget_violations: 0,
            wave_ends: SortedMap::default(),
            failures: SeededRandom::new(seed, 2),
            repair_ends: SortedMap::default(),
            rule,
            times: hosts.collect(),
            fleet,
        }
    }

    /// Runs until all waves are finished.
    pub(super) fn run(mut self, deployment: &Deployment) -> RolloutResult {
        let bounds = deployment.pools.iter().map(|pool| self.bounds(pool));
        let bounds: Vec<(Millis, Millis)> = bounds.collect();
        self.fleet.start_waves(deployment.pools, 1, REBOOT_LIMIT);
        while self.fleet.elapsed() < MAX_DURATION && self.step() {
            self.fleet.advance(TICK);
        }
        let pools = deployment.pools.iter().zip(bounds);
        let pools = pools.map(|(pool, (lower_bound, random_order))| PoolResult {
            random_order,
            duration: self
                .wave_ends
                .get(&pool.pool_name())
                .copied()
                .unwrap_or(MAX_DURATION),
            last: self.last_stop(&pool.pool_name()),
            lower_bound,
        });
        RolloutResult {
            budget_violations: self.budget_violations,
            pools: pools.collect(),
        }
    }

    fn last_stop(&self, pool: &PoolName) -> Option<LastStop> {
        let members = self.fleet.state.membership.members(pool);
        let (name, host) = members.max_by_key(|(_, host)| host.maintained)?;
        let outage = Millis(self.outage(name)?);
        let back = self.fleet.elapsed().0 - self.fleet.now.since(host.maintained).0;
        let start = Millis(back.saturating_sub(outage.0));
        Some(LastStop { outage, start })
    }

    /// Returns a lower bound of the time that the stops of a pool take, and the mean time they take in random order.
    ///
    /// The bound uses how long each host will take, which no planner knows. Random order shows what can be reached
    /// without this knowledge.
    ///
    /// A survive rule assumes the loss of a failure domain `d` on top of the stopped hosts outside it, so at most
    /// `hosts - hosts in d - min_available` hosts outside `d` can be stopped at the same time.
    fn bounds(&self, spec: &PoolSpec) -> (Millis, Millis) {
        let name = spec.pool_name();
        let members: Vec<(&HostName, &HostState)> =
            self.fleet.state.membership.members(&name).collect();
        let domains = members.iter().map(|(_, host)| domain(host, spec));
        let bounds = domains.map(|lost| {
            let outside = members.iter().filter(|(_, host)| {
                let host = domain(host, spec);
                host.is_none() || host != lost
            });
            let outages: Vec<u64> = outside.filter_map(|(host, _)| self.outage(host)).collect();
            let concurrent = outages.len().saturating_sub(spec.min_available as usize);
            let random_order = random_schedule(outages.clone(), concurrent.max(1));
            (shortest_schedule(outages, concurrent.max(1)), random_order)
        });
        let (bound, random_order) = bounds.fold((0, 0), |(bound, random_order), next| {
            (bound.max(next.0), random_order.max(next.1))
        });
        (Millis(bound), Millis(random_order))
    }

    fn outage(&self, host: &HostName) -> Option<u64> {
        let times = self.times.get(host)?;
        Some(times.drain.0 + times.reboot.0)
    }

    /// Advances the fleet by one decision and returns whether a wave is still open.
    fn step(&mut self) -> bool {
        self.observe();
        let plan = plan_waves(RolloutInput {
            config: self.fleet.state.config.fleet(),
            list_time: self.fleet.now,
            membership: &self.fleet.state.membership,
            now: self.fleet.now,
        });
        for record in plan.records {
            self.record_end(&record);
            if self.is_allowed(&record) {
                let stop = matches!(record, MembershipRecord::StopStart { .. });
                let accepted = self.fleet.apply(record).is_ok();
                self.budget_violations += u64::from(stop && accepted && !self.are_budgets_kept());
            }
        }
        !plan.waves.is_empty()
    }

    fn record_end(&mut self, record: &MembershipRecord) {
        if let MembershipRecord::WaveFinish { wave, .. } = record
            && let Some(wave) = self.fleet.state.membership.waves().get(wave)
        {
            self.wave_ends
                .insert(wave.pool.clone(), self.fleet.elapsed());
        }
    }

    fn is_allowed(&self, record: &MembershipRecord) -> bool {
        let MembershipRecord::StopStart { host, .. } = record else {
            return true;
        };
        let membership = &self.fleet.state.membership;
        let Some(host) = membership.hosts().get(host) else {
            return false;
        };
        let mut members = membership.members(&host.pool);
        // A host that exceeds its reboot limit is reported as down and no longer delays the others.
        let busy = members.any(|(_, host)| host.stop().is_some() && host.down.is_none());
        self.rule == StopRule::Planned || !busy
    }

    fn are_budgets_kept(&self) -> bool {
        let state = &self.fleet.state;
        let pools = state.config.fleet().pools.iter();
        let mut violated = pools.filter(|pool| {
            let down = state.membership.members(&pool.name);
            let down = down.filter(|(_, host)| host.down.is_some()).count();
            down == 0 && !state.membership.budget(pool).is_kept()
        });
        violated.next().is_none()
    }

    /// Records the hosts that have drained, come back or failed since the last step.
    fn observe(&mut self) {
        for (name, host) in self.fleet.hosts() {
            let seen = host.version;
            if let Some(stop) = host.stop() {
                let Some(times) = self.times.get(&name).copied() else {
                    continue;
                };
                let since = |time: LogTime| self.fleet.now.since(time);
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
                let _ = self.fleet.apply(record);
            } else {
                self.fail_or_repair(name, &host);
            }
        }
    }

    fn fail_or_repair(&mut self, name: HostName, host: &HostState) {
        let seen = host.version;
        let fails = self.failures.happens(FAILURES_PER_SECOND);
        if host.down.is_none() && fails {
            let repair = Millis(1_000 * self.failures.between(REPAIR_SECONDS));
            self.repair_ends
                .insert(name.clone(), self.fleet.now + repair);
            let _ = self
                .fleet
                .apply(MembershipRecord::HostDown { host: name, seen });
        } else if self
            .repair_ends
            .get(&name)
            .is_some_and(|end| *end <= self.fleet.now)
        {
            self.repair_ends.remove(&name);
            let incarnation = Incarnation(seen.incarnation.0 + 1);
            let _ = self.fleet.apply(MembershipRecord::HostUp {
                host: name,
                incarnation,
                seen,
            });
        }
    }
}

fn stop_times(pool: &PoolSpec, random: &mut SeededRandom) -> StopTimes {
    let late = random.happens(LATE_REBOOT_PROBABILITY);
    let reboot = if late {
        LATE_REBOOT_SECONDS
    } else {
        REBOOT_SECONDS
    };
    StopTimes {
        drain: Millis(1_000 * random.between(pool.drain_seconds)),
        reboot: Millis(1_000 * random.between(reboot)),
    }
}

/// Returns a lower bound of the time that `outages` take if at most `max_concurrent` of them run at the same time.
///
/// It is the larger of two kinds of bounds. The total work cannot be done faster than `max_concurrent` at a time. And
/// for each `k`, some `k + 1` of the `k * max_concurrent + 1` longest outages run one after the other.
fn shortest_schedule(mut outages: Vec<u64>, max_concurrent: usize) -> u64 {
    outages.sort_unstable_by(|left, right| right.cmp(left));
    let work = outages.iter().sum::<u64>() / max_concurrent as u64;
    let rounds = (0..).map_while(|round| {
        let last = round * max_concurrent;
        outages.get(last)?;
        Some(outages[last - round..=last].iter().sum::<u64>())
    });
    rounds.max().unwrap_or_default().max(work)
}

/// Returns the mean time over random orders of `outages` if each starts as soon as one of `max_concurrent` slots is
/// free.
fn random_schedule(mut outages: Vec<u64>, max_concurrent: usize) -> u64 {
    let mut random = SeededRandom::new(RANDOM_ORDERS, 3);
    let times = (0..RANDOM_ORDERS).map(|_| {
        for index in (1..outages.len()).rev() {
            outages.swap(index, random.between((0, index as u64)) as usize);
        }
        let mut slots = vec![0; max_concurrent];
        for outage in &outages {
            if let Some(slot) = slots.iter_mut().min() {
                *slot += outage;
            }
        }
        slots.into_iter().max().unwrap_or_default()
    });
    times.sum::<u64>() / RANDOM_ORDERS
}

/// Returns the failure domain of a host under the survive rule of its pool.
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
