use {
    super::{LendPolicy, lend_policy::NeedTrend},
    crate::{
        config::FleetConfig,
        ids::{HostName, LogTime, PoolName},
        membership::{
            HOST_LIST_MAX_AGE, HostActivity, HostState, MembershipLedger, MembershipRecord,
        },
    },
};

/// State that lending is planned from.
#[derive(Clone, Copy, Debug)]
pub struct LendInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Log time of the latest host list.
    pub list_time: LogTime,
    /// Membership of the hosts.
    pub membership: &'a MembershipLedger,
    /// Current log time.
    pub now: LogTime,
}

impl LendInput<'_> {
    /// Returns the number of hosts of a pool that are available, under maintenance, or moving to the pool.
    ///
    /// A host that is stopped for some minutes still counts, because a move would not complete before it is
    /// back. A host that leaves the pool, or that is down, does not count.
    pub fn capacity(&self, pool: &PoolName) -> usize {
        let hosts = self.membership.hosts().values();
        hosts
            .filter(|host| host.down.is_none())
            .filter(|host| match &host.activity {
                HostActivity::Serving | HostActivity::Stopping(_) => host.pool == *pool,
                HostActivity::Moving { to, .. } => to == pool,
                HostActivity::Draining => false,
            })
            .count()
    }
}

impl LendPolicy {
    /// Returns the moves to start now. The caller has to append `MoveFinish` once a moving host has drained.
    pub fn plan(&self, input: LendInput<'_>) -> Vec<MembershipRecord> {
        if input.now.since(input.list_time) > HOST_LIST_MAX_AGE {
            return Vec::new();
        }
        let recent_moves = input.membership.recent_moves(input.now);
        let allowed = self
            .settings
            .max_moves_per_hour
            .saturating_sub(recent_moves);
        let mut records = self.return_hosts(input);
        records.extend(self.lend(input));
        records.truncate(allowed);
        records
    }

    fn lend(&self, input: LendInput<'_>) -> Vec<MembershipRecord> {
        let spare = &self.settings.spare;
        let Some(pool) = input.config.pool(spare) else {
            return Vec::new();
        };
        let mut budget = input.membership.budget(pool);
        let spare_need = self.smoothed_need(spare).unwrap_or_default().ceil() as u32;
        let mut spares = input
            .membership
            .members(spare)
            .filter(|(_, host)| host.is_available());
        let mut records = Vec::new();
        for (to, trend) in self.pools_by_shortfall(input) {
            let deficit = trend.hosts - input.capacity(to) as f64;
            for _ in 0..deficit.ceil() as usize {
                if budget.available() <= spare_need {
                    return records;
                }
                let next = spares.find(|(_, host)| budget.try_remove(host).is_ok());
                let Some((name, host)) = next else {
                    return records;
                };
                records.push(start_move(input, name, host, to));
            }
        }
        records
    }

    /// Returns the pools whose shortfall exceeds the cost of a move, the largest shortfall first.
    fn pools_by_shortfall(&self, input: LendInput<'_>) -> Vec<(&PoolName, NeedTrend)> {
        let cost = self.settings.move_duration.0 as f64;
        let mut pools: Vec<(&PoolName, NeedTrend)> = self
            .trends
            .iter()
            .filter(|(pool, trend)| **pool != self.settings.spare && trend.shortfall > cost)
            .filter(|(pool, _)| input.config.pool(pool).is_some())
            .map(|(pool, trend)| (pool, *trend))
            .collect();
        pools.sort_by(|(_, left), (_, right)| right.shortfall.total_cmp(&left.shortfall));
        pools
    }

    /// Returns at most one host of each pool, so that the next decision sees the effect of this one.
    fn return_hosts(&self, input: LendInput<'_>) -> Vec<MembershipRecord> {
        let spare = &self.settings.spare;
        let spare_has_deficit = self
            .trends
            .get(spare)
            .is_some_and(|trend| trend.shortfall > self.settings.move_duration.0 as f64);
        let mut records = Vec::new();
        for (pool, trend) in self.trends.iter().filter(|(pool, _)| *pool != spare) {
            let duration = trend.surplus_since.map(|since| input.now.since(since));
            let is_unused = duration.is_some_and(|duration| duration >= self.settings.return_delay);
            let is_needed_by_spare = trend.surplus_since.is_some() && spare_has_deficit;
            // A host that is still leaving the pool affects the need only later.
            if (is_unused || is_needed_by_spare) && !has_moving_host(input, pool) {
                records.extend(self.return_host(input, pool));
            }
        }
        records
    }

    fn return_host(&self, input: LendInput<'_>, pool: &PoolName) -> Option<MembershipRecord> {
        let spare = &self.settings.spare;
        let mut budget = input.membership.budget(input.config.pool(pool)?);
        let members = input.membership.members(pool);
        let (name, host) = members
            .filter(|(_, host)| host.is_available() && host.lent_from.as_ref() == Some(spare))
            .find(|(_, host)| budget.try_remove(host).is_ok())?;
        Some(start_move(input, name, host, spare))
    }
}

fn has_moving_host(input: LendInput<'_>, pool: &PoolName) -> bool {
    let mut members = input.membership.members(pool);
    members.any(|(_, host)| matches!(host.activity, HostActivity::Moving { .. }))
}

fn start_move(
    input: LendInput<'_>,
    name: &HostName,
    host: &HostState,
    to: &PoolName,
) -> MembershipRecord {
    MembershipRecord::MoveStart {
        host: name.clone(),
        lend: true,
        list_time: input.list_time,
        seen: host.version,
        to: to.clone(),
    }
}
