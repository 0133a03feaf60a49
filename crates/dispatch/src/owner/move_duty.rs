use {
    super::{
        HostStatus, OwnerState,
        host_table::{HostState, HostTask},
    },
    crate::pools::{HostMove, PoolFigures, job_demand, plan_pools},
    goldcreststall_core::ids::LocalTime,
};

impl OwnerState {
    pub(super) fn decide_moves(&mut self, now: LocalTime) {
        let figures = self.pool_figures(now);
        let plan = plan_pools(&figures);
        for HostMove { host, pool, why } in plan.moves {
            self.begin_task(&host, HostTask::Move { pool }, why, now);
        }
        for host in plan.drains {
            let runner = self
                .hosts
                .find(&host)
                .and_then(|state| state.report.runner.clone());
            if let Some(id) = runner {
                self.cordon(&id);
            }
        }
    }

    fn pool_figures(&self, now: LocalTime) -> Vec<PoolFigures> {
        let mut figures: Vec<PoolFigures> = self
            .rules
            .services
            .iter()
            .map(|service| PoolFigures {
                name: service.name.clone(),
                spare: service.spare,
                ..PoolFigures::default()
            })
            .collect();
        for state in &self.hosts.hosts {
            let goal = match (&state.task, &state.moved) {
                (Some((HostTask::Move { pool }, _)), _) | (_, Some((pool, _))) => pool,
                _ => &state.report.pool,
            };
            let pool = figures.iter_mut().find(|pool| pool.name == *goal);
            let Some(pool) = pool else {
                continue;
            };
            if state.report.status != HostStatus::Down {
                pool.hosts += 1;
                pool.host_cpu = pool.host_cpu.max(state.report.capacity.cpu);
            }
            match self.host_use(state, pool.spare, now) {
                HostUse::Empty(since) => {
                    pool.movable.push((since, state.report.host.clone()));
                }
                HostUse::Busy(cpu) => pool.busy.push((cpu, state.report.host.clone())),
                HostUse::Kept => {}
            }
        }
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let pool = figures
                .iter_mut()
                .find(|pool| pool.name == job.queue.service);
            if let Some(pool) = pool {
                pool.spread = pool.spread.max(job.lasting_spread());
                let demand = job_demand(job, now);
                pool.demand_cpu += demand.in_time;
                pool.late_cpu += demand.late;
            }
        }
        figures
    }

    fn host_use(&self, state: &HostState, spare: bool, now: LocalTime) -> HostUse {
        let idle = state.task.is_none() && state.maintained.is_none() && state.moved.is_none();
        if !idle || state.report.status != HostStatus::Up || state.pause > now {
            return HostUse::Kept;
        }
        if spare {
            return HostUse::Empty(LocalTime(0));
        }
        let id = state.report.runner.as_deref();
        let Some(key) = id.and_then(|id| self.runners.find(id)) else {
            return HostUse::Kept;
        };
        let Some(runner) = self.runners.get(key) else {
            return HostUse::Kept;
        };
        if !runner.takes_work(now) || self.has_lasting(Some(key)) {
            return HostUse::Kept;
        }
        if runner.items.is_empty() {
            return HostUse::Empty(runner.empty_since);
        }
        HostUse::Busy(runner.used.cpu)
    }
}

/// What a host could be used for in another pool.
enum HostUse {
    /// Nothing runs there, since that time.
    Empty(LocalTime),
    /// Its work ends by itself; the processor time in use.
    Busy(u32),
    /// It stays.
    Kept,
}
