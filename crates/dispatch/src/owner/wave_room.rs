use {
    super::{
        HostStatus, OwnerState, WaveRequest,
        host_table::{HostOperation, HostState},
    },
    crate::{
        jobs::{ItemKey, ItemRun},
        pools::{HostMove, PoolPlan, PoolStats, WaveStage},
        runners::Capacity,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long a host must have been empty before it is given back: the next burst of demand may need it.
const RETURN_DELAY: Millis = Millis(5_000);

/// Hosts of one pool for the waves.
#[derive(Clone, Debug, Default)]
struct PoolRoom {
    pool: String,
    /// Number of hosts that the waves need beyond those in the pool.
    requested: usize,
    /// Number of hosts that have come from a spare pool for the waves and are to be given back.
    lent: usize,
}

/// Hosts that the waves need in addition, by pool, in no order: there are as few pools as services. A change of the owner
/// forgets which hosts were lent; they stay where they are until another pool needs them.
#[derive(Debug, Default)]
pub(super) struct WaveRoomTable {
    pools: Vec<PoolRoom>,
}

impl WaveRoomTable {
    /// Forgets what the waves have requested; each round of decisions requests it anew.
    pub(super) fn clear_requests(&mut self) {
        for room in &mut self.pools {
            room.requested = 0;
        }
        self.pools.retain(|room| room.lent > 0);
    }

    pub(super) fn requested(&self, pool: &str) -> usize {
        self.find(pool).map_or(0, |room| room.requested)
    }

    fn lent(&self, pool: &str) -> usize {
        self.find(pool).map_or(0, |room| room.lent)
    }

    fn find(&self, pool: &str) -> Option<&PoolRoom> {
        self.pools.iter().find(|room| room.pool == pool)
    }

    fn entry(&mut self, pool: &str) -> &mut PoolRoom {
        let found = self.pools.iter().position(|room| room.pool == pool);
        let index = found.unwrap_or_else(|| {
            self.pools.push(PoolRoom {
                pool: pool.to_owned(),
                ..PoolRoom::default()
            });
            self.pools.len() - 1
        });
        &mut self.pools[index]
    }
}

impl OwnerState {
    /// Requests hosts for the pools in which a wave is stuck; returns how many, for the log. `stuck` are the hosts that
    /// cannot be emptied for lack of room.
    pub(super) fn request_wave_room(
        &mut self,
        request: &WaveRequest,
        stuck: &[&str],
        time_left: Millis,
    ) -> usize {
        let mut stages: Vec<(String, WaveStage)> = Vec::new();
        for host in stuck {
            let Some((pool, used, turns)) = self.movable_work(host) else {
                continue;
            };
            let known = stages.iter().position(|(name, _)| *name == pool);
            let index = known.unwrap_or_else(|| {
                let stage = WaveStage {
                    time_left,
                    cap: request.cap as usize,
                    under_way: self.hosts_under_way(request, &pool),
                    stuck: Vec::new(),
                    turns: 0,
                    host_capacity: self.pool_capacity(&pool),
                };
                stages.push((pool, stage));
                stages.len() - 1
            });
            let stage = &mut stages[index].1;
            stage.stuck.push(used);
            stage.turns = stage.turns.max(turns);
        }
        let mut requested = 0;
        for (pool, stage) in stages {
            let missing = stage.missing_hosts();
            requested += missing;
            self.wave_room.entry(&pool).requested += missing;
        }
        requested
    }

    /// Returns the pool of a host, the capacity that its long-running work uses, and how many turns the work items of its
    /// steps need; none when a host that moves to the pool may not be allowed to run all of it.
    fn movable_work(&self, host: &str) -> Option<(String, Capacity, usize)> {
        let state = self.hosts.get(host)?;
        let key = state.runner_key(&self.runners)?;
        let is_free = |item| {
            let found = self.jobs.item(item);
            found.is_some_and(|(job, item)| {
                job.step_of(item).required_label.is_none() && job.queue.advice.is_none()
            })
        };
        let runs = self.runs_on(key);
        let mut lasting = runs.iter().filter(|(item, _)| self.is_long_running(*item));
        let used = self.runners.get(key)?.used_for_good;
        let turns = lasting.clone().map(|(item, _)| self.turns_of(*item)).max();
        lasting
            .all(|(item, _)| is_free(*item))
            .then(|| (state.report.pool.clone(), used, turns.unwrap_or(0)))
    }

    /// Returns how many work items of a step must leave hosts that are due one after the other, because only some may be
    /// missing at a time.
    fn turns_of(&self, key: ItemKey) -> usize {
        let Some((job, item)) = self.jobs.item(key) else {
            return 0;
        };
        let is_due = |run: &ItemRun| self.runners.get(run.runner).is_some_and(|state| state.due);
        let siblings = job.step_items(item.occurrence, item.step).iter();
        let leaving = siblings.filter(|item| item.runs.iter().any(is_due));
        match job.step_of(item).may_miss {
            0 => 1,
            may_miss => leaving.count().div_ceil(may_miss as usize),
        }
    }

    /// Returns how many hosts of a wave in a pool are being emptied or maintained.
    fn hosts_under_way(&self, request: &WaveRequest, pool: &str) -> usize {
        let is_under_way = |state: &HostState| {
            let is_away = self.is_away(state);
            let key = state.runner_key(&self.runners);
            let is_emptied = key.and_then(|key| self.runners.get(key));
            is_away || is_emptied.is_some_and(|runner| runner.cordoned)
        };
        let hosts = request.hosts.iter();
        let states = hosts.filter_map(|host| self.hosts.get(host));
        states
            .filter(|state| state.report.pool == pool && is_under_way(state))
            .count()
    }

    /// Returns whether a host is, or may be, away for maintenance.
    pub(super) fn is_away(&self, state: &HostState) -> bool {
        let is_commanded = matches!(state.operation, Some((HostOperation::Maintain { .. }, _)));
        let is_listed = state.report.status == HostStatus::Maintenance;
        is_commanded || is_listed || state.maintained.is_some()
    }

    fn pool_capacity(&self, pool: &str) -> Capacity {
        let hosts = self.hosts.hosts.iter();
        let members = hosts.filter(|state| state.report.pool == pool);
        members
            .map(|state| state.report.capacity)
            .max_by_key(|capacity| capacity.cpu)
            .unwrap_or_default()
    }

    /// Returns whether a host is on its way to its pool or not ready there yet.
    pub(super) fn is_arriving(&self, state: &HostState) -> bool {
        let is_moving = matches!(state.operation, Some((HostOperation::Move { .. }, _)));
        let key = state.runner_key(&self.runners);
        let runner = key.and_then(|key| self.runners.get(key));
        let is_new = runner.is_none_or(|runner| !runner.fenced) && !self.is_away(state);
        is_moving || state.moved.is_some() || is_new
    }

    /// Records the hosts that move from a spare pool for waves: those beyond what the work of the pool needs.
    pub(super) fn record_lent(&mut self, stats: &[PoolStats], plan: &PoolPlan) {
        for pool in stats.iter().filter(|pool| pool.waves.1 > 0) {
            let moves = plan.moves.iter().filter(|moved| moved.pool == pool.name);
            let arriving = moves.clone().count();
            let is_spare = |moved: &&HostMove| {
                let from = self.hosts.get(&moved.host).map(|state| &state.report.pool);
                from.is_some_and(|from| self.rules.is_spare(from))
            };
            let from_spare = moves.filter(is_spare).count();
            let beyond = (pool.hosts + arriving).saturating_sub(pool.needed_for_work());
            self.wave_room.entry(&pool.name).lent += beyond.min(from_spare);
        }
    }

    /// Gives back empty hosts to the spare pool, as many as were lent, from pools that have more than they need. None is
    /// given back before the end of the waves, which may need it again.
    pub(super) fn return_lent(&mut self, stats: &[PoolStats], plan: &PoolPlan, now: LocalTime) {
        let spare = self.rules.services.iter().find(|pool| pool.spare);
        let (Some(spare), false) = (spare.map(|pool| pool.name.clone()), self.is_wave_due(now))
        else {
            return;
        };
        for (pool, target) in stats.iter().zip(&plan.targets) {
            let lent = self.wave_room.lent(&pool.name);
            let surplus = pool.hosts.saturating_sub(*target).min(lent);
            let is_unused = |(since, host): &&(LocalTime, String)| {
                let state = self.hosts.get(host);
                let is_idle = state.is_some_and(|state| state.operation.is_none());
                is_idle && now.since(*since) >= RETURN_DELAY
            };
            let unused = pool.movable.iter().filter(is_unused).take(surplus);
            let hosts: Vec<String> = unused.map(|(_, host)| host.clone()).collect();
            for host in hosts {
                self.wave_room.entry(&pool.name).lent -= 1;
                let pool = spare.clone();
                let reason = "given back after a wave".to_owned();
                self.start_operation(&host, HostOperation::Move { pool }, reason, now);
            }
        }
    }

    /// Returns whether a wave is not completed and still within its time.
    fn is_wave_due(&self, now: LocalTime) -> bool {
        let mut waves = self.waves.waves.iter();
        waves.any(|wave| !wave.progress.completed && now < wave.end())
    }
}
