use {
    super::{
        HostStatus, OwnerState,
        host_table::{HostOperation, HostState},
        unplaced_serving::hosts_for_unplaced,
    },
    crate::{
        organisations::{OrganisationKey, ResourceUse},
        pools::{HostMove, JobDemand, PoolPlan, PoolStats, job_demand, plan_pools},
        runners::{Capacity, RunnerStatus},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Minimum time between two log lines about a pool.
const LOG_INTERVAL: Millis = Millis(1_000);
/// Number of consecutive hold calls without a response from which on a host is not counted as capacity of its pool. A
/// single one may be due to a lost connection.
const UNRESPONSIVE_MISSES: u32 = 2;
/// Number of consecutive failed runs from which on a host is not counted as capacity of its pool.
const FAILING_RUNS: u32 = 3;

impl OwnerState {
    pub(super) fn decide_moves(&mut self, now: LocalTime) {
        let stats = self.pool_stats(now);
        let plan = plan_pools(&stats);
        self.log_pools(&stats, &plan, now);
        self.record_lent(&stats, &plan);
        for HostMove { host, pool, reason } in &plan.moves {
            let (pool, reason) = (pool.clone(), reason.clone());
            self.start_operation(host, HostOperation::Move { pool }, reason, now);
        }
        self.return_lent(&stats, &plan, now);
        for host in plan.drains {
            let runner = self
                .hosts
                .get(&host)
                .and_then(|state| state.report.runner.clone());
            if let Some(id) = runner {
                self.cordon(&id);
            }
        }
    }

    /// Logs the pools whose number of hosts or target has changed since the last log line, at most once per interval.
    fn log_pools(&mut self, stats: &[PoolStats], plan: &PoolPlan, now: LocalTime) {
        if now < self.pools_logged_at + LOG_INTERVAL {
            return;
        }
        self.pools_logged_at = now;
        let logged = std::mem::take(&mut self.logged_pools);
        for (pool, target) in stats.iter().zip(&plan.targets) {
            let line = (pool.name.clone(), pool.hosts, *target);
            if !logged.contains(&line) {
                let detail = format!(
                    "hosts={} target={target} empty={} demand_cpu={} late_cpu={} spread={} waves={}",
                    pool.hosts,
                    pool.movable.len(),
                    pool.demand_cpu,
                    pool.late_cpu,
                    pool.spread,
                    pool.waves.1
                );
                self.log_event("pool figures", pool.name.clone(), detail);
            }
            self.logged_pools.push(line);
        }
    }

    fn pool_stats(&mut self, now: LocalTime) -> Vec<PoolStats> {
        let mut stats: Vec<PoolStats> = self
            .rules
            .services
            .iter()
            .map(|service| PoolStats {
                name: service.name.clone(),
                spare: service.spare,
                ..PoolStats::default()
            })
            .collect();
        for state in &self.hosts.hosts {
            let goal_pool = match (&state.operation, &state.moved) {
                (Some((HostOperation::Move { pool }, _)), _) | (_, Some((pool, _))) => pool,
                _ => &state.report.pool,
            };
            let pool = stats.iter_mut().find(|pool| pool.name == *goal_pool);
            let Some(pool) = pool else {
                continue;
            };
            if self.is_usable(state) {
                pool.hosts += 1;
                pool.waves.0 += usize::from(!self.is_arriving(state));
                if state.report.capacity.cpu > pool.host_capacity.cpu {
                    pool.host_capacity = state.report.capacity;
                }
            }
            match self.host_occupancy(state, pool.spare, now) {
                HostOccupancy::Empty(since) => {
                    pool.movable.push((since, state.report.host.clone()));
                }
                HostOccupancy::Busy(cpu) => pool.busy.push((cpu, state.report.host.clone())),
                HostOccupancy::Kept => {}
            }
        }
        let largest = self.largest_capacity();
        let mut limited: Vec<LimitedDemand> = Vec::new();
        for key in self.jobs.unfinished() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let pool = stats.iter().position(|pool| pool.name == job.queue.service);
            let Some(pool) = pool else {
                continue;
            };
            let demand = job_demand(job, largest, now);
            let spread = job.long_running_spread();
            if self.organisations.is_limited(job.organisation_key) {
                limited.push(LimitedDemand {
                    organisation: job.organisation_key,
                    pool,
                    demand,
                    spread,
                });
            } else {
                stats[pool].add_demand(&demand, spread);
            }
        }
        self.add_limited(limited, &mut stats);
        for pool in &mut stats {
            pool.waves.1 = self.wave_room.requested(&pool.name);
            pool.serving = self.serving_hosts(&pool.name, pool.host_capacity, largest, now);
            let arriving = self.arrivals.demand_cpu(&pool.name, now);
            pool.demand_cpu = pool.demand_cpu.max(arriving);
        }
        stats
    }

    /// Adds the demand of organisations with a quota, as far as the quota allows it to run: more hosts would not serve the
    /// rest. Over all pools, the same part of the waiting work of an organisation counts.
    fn add_limited(&mut self, mut limited: Vec<LimitedDemand>, stats: &mut [PoolStats]) {
        self.organisations.clear_arrivals();
        limited.sort_unstable_by_key(|part| part.organisation);
        let mut at_quota = Vec::new();
        for parts in limited.chunk_by(|left, right| left.organisation == right.organisation) {
            let organisation = parts[0].organisation;
            let waiting = parts.iter().fold(ResourceUse::default(), |sum, part| {
                sum.plus(&part.demand.waiting_use)
            });
            let percent = self.organisations.allowed_percent(organisation, &waiting);
            if percent < 100 {
                at_quota.push(organisation);
            }
            for part in parts {
                let has_runs = part.demand.in_time + part.demand.late
                    > part.demand.waiting.0 + part.demand.waiting.1;
                let spread = if percent > 0 || has_runs {
                    part.spread
                } else {
                    0
                };
                stats[part.pool].add_demand(&part.demand.limited(percent), spread);
            }
        }
        self.organisations.set_at_quota(at_quota);
    }

    /// Returns the number of hosts of a pool that accept work, and of those that long-running work waits for beyond them.
    /// Work that is larger than `largest`, the largest host, needs none.
    fn serving_hosts(
        &self,
        service: &str,
        host: Capacity,
        largest: Capacity,
        now: LocalTime,
    ) -> (usize, usize) {
        let missing = hosts_for_unplaced(&self.unplaced_serving, service, host, largest);
        if missing == 0 {
            return (0, 0);
        }
        let mut accepting = 0;
        for (_, state) in self.runners.all() {
            accepting += usize::from(state.report.service == service && state.accepts_work(now));
        }
        (accepting, missing)
    }

    /// Returns whether a host can be expected to accept work of its pool soon. A host that is cut off, is leaving or
    /// fails its work is not capacity for a flood, although the platform lists it as up.
    fn is_usable(&self, state: &HostState) -> bool {
        if state.report.status == HostStatus::Down {
            return false;
        }
        let runner = state
            .runner_key(&self.runners)
            .and_then(|key| self.runners.get(key));
        runner.is_none_or(|runner| {
            runner.missed_holds < UNRESPONSIVE_MISSES
                && runner.consecutive_failures < FAILING_RUNS
                && runner.report.status == RunnerStatus::Ready
        })
    }

    fn host_occupancy(&self, state: &HostState, spare: bool, now: LocalTime) -> HostOccupancy {
        let idle = state.operation.is_none() && state.maintained.is_none() && state.moved.is_none();
        let up = state.report.status == HostStatus::Up;
        if !idle || !up || state.paused_until > now || !self.can_command(state, now) {
            return HostOccupancy::Kept;
        }
        // The hosts that are due for maintenance move last: the pool that gets them would soon lose them again.
        let empty_since = |since| if state.due { now } else { since };
        if spare {
            return HostOccupancy::Empty(empty_since(LocalTime(0)));
        }
        let Some(key) = state.runner_key(&self.runners) else {
            return HostOccupancy::Kept;
        };
        let Some(runner) = self.runners.get(key) else {
            return HostOccupancy::Kept;
        };
        if !runner.accepts_work(now) || self.has_long_running(key) {
            return HostOccupancy::Kept;
        }
        if runner.items.is_empty() {
            return HostOccupancy::Empty(empty_since(runner.empty_since));
        }
        HostOccupancy::Busy(runner.used.cpu)
    }
}

/// Demand of a job whose organisation has a quota.
#[derive(Clone, Copy, Debug)]
struct LimitedDemand {
    organisation: OrganisationKey,
    /// Index of the pool.
    pool: usize,
    demand: JobDemand,
    spread: usize,
}

/// Whether a host could move to another pool.
enum HostOccupancy {
    /// It could move at once; it has had no runs since this time.
    Empty(LocalTime),
    /// It could move once its work has ended, which it does by itself; processor time in use.
    Busy(u32),
    /// It must stay in its pool for now.
    Kept,
}
