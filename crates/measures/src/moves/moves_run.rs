use {
    super::flood_demand::FloodDemand,
    crate::simulation::{Deployment, PoolSpec, SeededRandom, VirtualFleet},
    goldcreststall_core::{
        capacity::{LendInput, LendPolicy, LendSettings, PoolNeed},
        collections::SortedMap,
        ids::{HostName, LogTime, Millis, PoolName},
        membership::{HostActivity, MembershipRecord},
    },
};

/// Interval between decisions.
const TICK_SECONDS: u64 = 2;
const RUN_SECONDS: u64 = 8 * 3_600;

/// The rule that decides on moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MoveRule {
    /// The policy with smoothing, hysteresis and a bound on moves per hour.
    Policy,
    /// Each pool gets a host when its current need exceeds its capacity and returns one when it can spare one.
    FollowFloods,
    /// All hosts stay in their pools.
    Static,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct MovesResult {
    /// Host-hours by which the sustained need of the pools exceeded their available hosts.
    pub(super) missing_host_hours: f64,
    /// Moves started, returns of lent hosts included.
    pub(super) moves: u64,
}

/// A fleet whose pools lend each other hosts.
#[derive(Debug)]
pub(super) struct MovesRun {
    demand: FloodDemand,
    deployment: Deployment,
    /// When each moving host will have drained.
    drain_ends: SortedMap<HostName, LogTime>,
    policy: LendPolicy,
    random: SeededRandom,
    result: MovesResult,
    rule: MoveRule,
    fleet: VirtualFleet,
}

impl MovesRun {
    pub(super) fn new(deployment: &Deployment, rule: MoveRule, seed: u64) -> Self {
        Self {
            demand: FloodDemand::new(deployment, seed),
            deployment: *deployment,
            drain_ends: SortedMap::default(),
            policy: LendPolicy::new(LendSettings::new(deployment.spare().pool_name())),
            random: SeededRandom::new(seed, 4),
            result: MovesResult {
                missing_host_hours: 0.0,
                moves: 0,
            },
            rule,
            fleet: VirtualFleet::new(deployment.pools),
        }
    }

    pub(super) fn run(mut self) -> MovesResult {
        for second in (0..RUN_SECONDS).step_by(TICK_SECONDS as usize) {
            self.demand.advance(second);
            self.finish_moves();
            self.observe(second);
            for record in self.plan(second) {
                self.start_move(record);
            }
            self.fleet.advance(Millis(TICK_SECONDS * 1_000));
        }
        self.result
    }

    fn input(&self) -> LendInput<'_> {
        LendInput {
            config: self.fleet.state.config.fleet(),
            list_time: self.fleet.now,
            membership: &self.fleet.state.membership,
            now: self.fleet.now,
        }
    }

    fn observe(&mut self, second: u64) {
        for index in 0..self.deployment.working().len() {
            let pool = self.deployment.working()[index].pool_name();
            let need = PoolNeed {
                hosts: self.demand.current_need(index, second),
                pool,
            };
            let capacity = self.input().capacity(&need.pool);
            self.policy.observe(self.fleet.now, &need, capacity);
            let members = self.fleet.state.membership.members(&need.pool);
            let serving = members.filter(|(_, host)| host.is_available()).count() as f64;
            let missing = (self.demand.sustained_need(index, second) - serving).max(0.0);
            self.result.missing_host_hours += missing * TICK_SECONDS as f64 / 3_600.0;
        }
    }

    fn plan(&self, second: u64) -> Vec<MembershipRecord> {
        match self.rule {
            MoveRule::Policy => self.policy.plan(self.input()),
            MoveRule::FollowFloods => self.follow_floods(second),
            MoveRule::Static => Vec::new(),
        }
    }

    /// Plans at most one move per pool and tick.
    fn follow_floods(&self, second: u64) -> Vec<MembershipRecord> {
        let spare = self.deployment.spare().pool_name();
        let pools = self.deployment.working().iter().enumerate();
        let moves = pools.filter_map(|(index, spec)| {
            let pool = spec.pool_name();
            let need = self.demand.current_need(index, second);
            let capacity = self.input().capacity(&pool) as f64;
            if need > capacity {
                self.first_move(&spare, false, &pool)
            } else if need <= capacity - 1.0 {
                self.first_move(&pool, true, &spare)
            } else {
                None
            }
        });
        moves.collect()
    }

    /// Moves the first available host of `from`; `lent` selects whether it is one that another pool has lent.
    fn first_move(&self, from: &PoolName, lent: bool, to: &PoolName) -> Option<MembershipRecord> {
        let mut hosts = self.fleet.state.membership.members(from);
        let (name, host) =
            hosts.find(|(_, host)| host.is_available() && host.lent_from.is_some() == lent)?;
        Some(MembershipRecord::MoveStart {
            host: name.clone(),
            lend: true,
            list_time: self.fleet.now,
            seen: host.version,
            to: to.clone(),
        })
    }

    fn start_move(&mut self, record: MembershipRecord) {
        let MembershipRecord::MoveStart { host, .. } = &record else {
            return;
        };
        let host = host.clone();
        let pool = self.fleet.state.membership.hosts().get(&host);
        let pool = pool.map(|host| host.pool.clone());
        if self.fleet.apply(record).is_ok() {
            self.result.moves += 1;
            let drain_range = pool
                .and_then(|pool| self.pool_spec(&pool))
                .map(|spec| spec.drain_seconds);
            let drain_seconds = self.random.between(drain_range.unwrap_or_default());
            let end = self.fleet.now + Millis(drain_seconds * 1_000);
            self.drain_ends.insert(host, end);
        }
    }

    fn pool_spec(&self, pool: &PoolName) -> Option<&PoolSpec> {
        let mut pools = self.deployment.pools.iter();
        pools.find(|spec| spec.name == pool.as_str())
    }

    fn finish_moves(&mut self) {
        let hosts = self.fleet.state.membership.hosts().iter();
        let drained = hosts.filter(|(name, host)| {
            let moving = matches!(host.activity, HostActivity::Moving { .. });
            moving
                && self
                    .drain_ends
                    .get(name)
                    .is_some_and(|end| *end <= self.fleet.now)
        });
        let records: Vec<MembershipRecord> = drained
            .map(|(name, host)| MembershipRecord::MoveFinish {
                host: name.clone(),
                seen: host.version,
            })
            .collect();
        for record in records {
            let _ = self.fleet.apply(record);
        }
    }
}
