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

/// What lending is decided on.
#[derive(Clone, Copy, Debug)]
pub struct LendInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Log time of the latest host list.
    pub list_time: LogTime,
    /// The hosts.
    pub membership: &'a MembershipLedger,
    /// The present log time.
    pub now: LogTime,
}

impl LendInput<'_> {
    /// Returns the hosts of a pool that are available, are maintained, or are about to arrive.
    ///
    /// A host that is stopped for some minutes still counts, because a move would not be done before it is
    /// back. A host that leaves, or that is down, does not count.
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
    /// Returns the moves to start now. The caller appends `MoveFinish` when a moving host has drained.
    pub fn plan(&self, input: LendInput<'_>) -> Vec<MembershipRecord> {
        if input.now.since(input.list_time) > HOST_LIST_MAX_AGE {
            return Vec::new();
        }
        let recent = input.membership.recent_moves(input.now);
        let allowed = self.settings.max_moves_per_hour.saturating_sub(recent);
        let mut records = self.give_back(input);
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
        let own_need = self.smoothed(spare).unwrap_or_default().ceil() as u32;
        let mut spares = input
            .membership
            .members(spare)
            .filter(|(_, host)| host.is_available());
        let mut records = Vec::new();
        for (to, trend) in self.most_missing(input) {
            let short = trend.hosts - input.capacity(to) as f64;
            for _ in 0..short.ceil() as usize {
                if budget.available() <= own_need {
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

    /// Returns the pools whose missed work exceeds the cost of a move, the most missed work first.
    fn most_missing(&self, input: LendInput<'_>) -> Vec<(&PoolName, NeedTrend)> {
        let cost = self.settings.move_time.0 as f64;
        let mut pools: Vec<(&PoolName, NeedTrend)> = self
            .trends
            .iter()
            .filter(|(pool, trend)| **pool != self.settings.spare && trend.missing > cost)
            .filter(|(pool, _)| input.config.pool(pool).is_some())
            .map(|(pool, trend)| (pool, *trend))
            .collect();
        pools.sort_by(|(_, left), (_, right)| right.missing.total_cmp(&left.missing));
        pools
    }

    /// Gives at most one host of each pool back, so that the next decision sees the effect of this one.
    fn give_back(&self, input: LendInput<'_>) -> Vec<MembershipRecord> {
        let spare = &self.settings.spare;
        let spare_short = self
            .trends
            .get(spare)
            .is_some_and(|trend| trend.missing > self.settings.move_time.0 as f64);
        let mut records = Vec::new();
        for (pool, trend) in self.trends.iter().filter(|(pool, _)| *pool != spare) {
            let lasted = trend.excess_since.map(|since| input.now.since(since));
            let unused = lasted.is_some_and(|lasted| lasted >= self.settings.return_after);
            let room = trend.excess_since.is_some() && spare_short;
            // A host that still leaves the pool shows its effect on the need only later.
            if (unused || room) && !leaving(input, pool) {
                records.extend(self.return_one(input, pool));
            }
        }
        records
    }

    fn return_one(&self, input: LendInput<'_>, pool: &PoolName) -> Option<MembershipRecord> {
        let spare = &self.settings.spare;
        let mut budget = input.membership.budget(input.config.pool(pool)?);
        let lent = input.membership.members(pool);
        let (name, host) = lent
            .filter(|(_, host)| host.is_available() && host.lent_from.as_ref() == Some(spare))
            .find(|(_, host)| budget.try_remove(host).is_ok())?;
        Some(start_move(input, name, host, spare))
    }
}

fn leaving(input: LendInput<'_>, pool: &PoolName) -> bool {
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
