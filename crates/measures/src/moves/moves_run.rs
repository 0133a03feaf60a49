use {
    super::flood_demand::FloodDemand,
    crate::simulation::{Deployment, PoolSpec, VirtualFleet, VirtualRandom},
    goldcreststall_core::{
        capacity::{LendInput, LendPolicy, LendSettings, PoolNeed},
        collections::SortedMap,
        ids::{HostName, LogTime, Millis, PoolName},
        membership::{HostActivity, MembershipRecord},
    },
};

/// Interval of decisions in seconds.
const TICK_SECONDS: u64 = 2;
/// Duration of a run in seconds.
const RUN_SECONDS: u64 = 8 * 3_600;

/// Who decides on moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MoveRule {
    /// The policy with smoothing, hysteresis and a bound on moves per hour.
    Policy,
    /// Each pool gets a host when its present need exceeds its capacity and returns it when it does not.
    FollowFloods,
    /// No host is moved.
    Static,
}

/// Result of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovesResult {
    /// Host-hours by which the lasting need exceeded the serving hosts.
    pub(super) missing: f64,
    /// Moves that were started.
    pub(super) moves: u64,
}

/// A fleet whose pools lend each other hosts.
#[derive(Debug)]
pub(super) struct MovesRun {
    demand: FloodDemand,
    deployment: Deployment,
    drains: SortedMap<HostName, LogTime>,
    policy: LendPolicy,
    random: VirtualRandom,
    result: MovesResult,
    rule: MoveRule,
    sim: VirtualFleet,
}

impl MovesRun {
    pub(super) fn new(deployment: &Deployment, rule: MoveRule, seed: u64) -> Self {
        Self {
            demand: FloodDemand::new(deployment, seed),
            deployment: *deployment,
            drains: SortedMap::default(),
            policy: LendPolicy::new(LendSettings::new(deployment.spare().pool())),
            random: VirtualRandom::new(seed, 4),
            result: MovesResult {
                missing: 0.0,
                moves: 0,
            },
            rule,
            sim: VirtualFleet::new(deployment.pools),
        }
    }

    pub(super) fn run(mut self) -> MovesResult {
        for second in (0..RUN_SECONDS).step_by(TICK_SECONDS as usize) {
            self.demand.advance(second);
            self.finish_moves();
            self.observe(second);
            for record in self.plan(second) {
                self.start(record);
            }
            self.sim.advance(Millis(TICK_SECONDS * 1_000));
        }
        self.result
    }

    fn input(&self) -> LendInput<'_> {
        LendInput {
            config: self.sim.state.config.fleet(),
            list_time: self.sim.now,
            membership: &self.sim.state.membership,
            now: self.sim.now,
        }
    }

    fn observe(&mut self, second: u64) {
        for index in 0..self.deployment.working().len() {
            let pool = self.deployment.working()[index].pool();
            let need = PoolNeed {
                hosts: self.demand.present(index, second),
                pool,
            };
            let capacity = self.input().capacity(&need.pool);
            self.policy.observe(self.sim.now, &need, capacity);
            let members = self.sim.state.membership.members(&need.pool);
            let serving = members.filter(|(_, host)| host.is_available()).count() as f64;
            let missing = (self.demand.lasting(index, second) - serving).max(0.0);
            self.result.missing += missing * TICK_SECONDS as f64 / 3_600.0;
        }
    }

    fn plan(&self, second: u64) -> Vec<MembershipRecord> {
        match self.rule {
            MoveRule::Policy => self.policy.plan(self.input()),
            MoveRule::FollowFloods => self.follow(second),
            MoveRule::Static => Vec::new(),
        }
    }

    /// Moves at most one host for each pool in a tick.
    fn follow(&self, second: u64) -> Vec<MembershipRecord> {
        let spare = self.deployment.spare().pool();
        let pools = self.deployment.working().iter().enumerate();
        let moves = pools.filter_map(|(index, spec)| {
            let pool = spec.pool();
            let need = self.demand.present(index, second);
            let capacity = self.input().capacity(&pool) as f64;
            if need > capacity {
                self.first_host(&spare, false, &pool)
            } else if need <= capacity - 1.0 {
                self.first_host(&pool, true, &spare)
            } else {
                None
            }
        });
        moves.collect()
    }

    fn first_host(&self, from: &PoolName, lent: bool, to: &PoolName) -> Option<MembershipRecord> {
        let mut hosts = self.sim.state.membership.members(from);
        let (name, host) =
            hosts.find(|(_, host)| host.is_available() && host.lent_from.is_some() == lent)?;
        Some(MembershipRecord::MoveStart {
            host: name.clone(),
            lend: true,
            list_time: self.sim.now,
            seen: host.version,
            to: to.clone(),
        })
    }

    fn start(&mut self, record: MembershipRecord) {
        let MembershipRecord::MoveStart { host, .. } = &record else {
            return;
        };
        let host = host.clone();
        let pool = self.sim.state.membership.hosts().get(&host);
        let pool = pool.map(|host| host.pool.clone());
        if self.sim.apply(record).is_ok() {
            self.result.moves += 1;
            let range = pool
                .and_then(|pool| self.spec(&pool))
                .map(|spec| spec.drain);
            let drain = self.random.between(range.unwrap_or_default());
            let end = self.sim.now + Millis(drain * 1_000);
            self.drains.insert(host, end);
        }
    }

    fn spec(&self, pool: &PoolName) -> Option<&PoolSpec> {
        let mut pools = self.deployment.pools.iter();
        pools.find(|spec| spec.name == pool.as_str())
    }

    fn finish_moves(&mut self) {
        let hosts = self.sim.state.membership.hosts().iter();
        let drained = hosts.filter(|(name, host)| {
            let moving = matches!(host.activity, HostActivity::Moving { .. });
            moving
                && self
                    .drains
                    .get(name)
                    .is_some_and(|end| *end <= self.sim.now)
        });
        let records: Vec<MembershipRecord> = drained
            .map(|(name, host)| MembershipRecord::MoveFinish {
                host: name.clone(),
                seen: host.version,
            })
            .collect();
        for record in records {
            let _ = self.sim.apply(record);
        }
    }
}
