use {
    super::{RolloutPlan, WaitReason, WaveProgress, stop_selection::StopSelection},
    crate::{
        config::FleetConfig,
        ids::{LogTime, PoolName, WaveName},
        membership::{
            HOST_LIST_MAX_AGE, MembershipLedger, MembershipRecord, PoolBudget, SeenWave, WaveState,
            WaveStatus,
        },
    },
};

/// State that waves are planned from.
#[derive(Clone, Copy, Debug)]
pub struct RolloutInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Log time of the latest host list.
    pub list_time: LogTime,
    /// Hosts and waves.
    pub membership: &'a MembershipLedger,
    /// Current log time.
    pub now: LogTime,
}

/// Plans the next steps of all open waves.
///
/// The plan reports hosts that exceeded their reboot limit as down, starts stops, and finishes waves. The caller
/// observes hosts and appends `StopDrained`, `HostDown` and `HostUp`. A plan that is made again before its
/// records are read back repeats them with the same versions, and the duplicates are ignored when they are
/// applied.
pub fn plan_waves(input: RolloutInput<'_>) -> RolloutPlan {
    let mut plan = RolloutPlan {
        records: overdue_hosts(input),
        waves: Vec::new(),
    };
    let mut budgets = BudgetTable::default();
    let waves = input.membership.waves().iter();
    for (name, wave) in waves.filter(|(_, wave)| wave.is_open()) {
        let progress = plan_wave(input, &mut budgets, name, wave, &mut plan.records);
        plan.waves.push(progress);
    }
    plan
}

/// Returns a `HostDown` record for each host that did not return in time, whatever stopped it.
fn overdue_hosts(input: RolloutInput<'_>) -> Vec<MembershipRecord> {
    let hosts = input.membership.hosts().iter().filter(|(_, host)| {
        let overdue = host.stop().is_some_and(|stop| stop.is_overdue(input.now));
        overdue && host.down.is_none()
    });
    let records = hosts.map(|(name, host)| MembershipRecord::HostDown {
        host: name.clone(),
        seen: host.version,
    });
    records.collect()
}

/// Budgets of the pools, which all waves of one plan share.
#[derive(Debug, Default)]
struct BudgetTable<'a> {
    rows: Vec<(&'a PoolName, PoolBudget<'a>)>,
}

impl<'a> BudgetTable<'a> {
    fn get_or_insert(
        &mut self,
        input: RolloutInput<'a>,
        pool: &'a PoolName,
    ) -> Option<&mut PoolBudget<'a>> {
        let known = self.rows.iter().position(|(name, _)| *name == pool);
        let index = match known {
            Some(index) => index,
            None => {
                let budget = input.membership.budget(input.config.pool(pool)?);
                self.rows.push((pool, budget));
                self.rows.len() - 1
            }
        };
        Some(&mut self.rows[index].1)
    }
}

fn plan_wave<'a>(
    input: RolloutInput<'a>,
    budgets: &mut BudgetTable<'a>,
    name: &'a WaveName,
    wave: &'a WaveState,
    records: &mut Vec<MembershipRecord>,
) -> WaveProgress {
    let pending = input.membership.pending(wave).count();
    let wait = match wave.status {
        WaveStatus::Running if pending == 0 => {
            records.push(MembershipRecord::WaveFinish {
                seen: wave.version,
                wave: name.clone(),
            });
            None
        }
        WaveStatus::Running => plan_stops(input, budgets, name, wave, records),
        _ => Some(WaitReason::Paused),
    };
    WaveProgress {
        done: wave.done.len(),
        pending,
        wait,
        wave: name.clone(),
    }
}

/// Plans the stops of one wave; returns the reason if it starts none.
fn plan_stops<'a>(
    input: RolloutInput<'a>,
    budgets: &mut BudgetTable<'a>,
    name: &'a WaveName,
    wave: &'a WaveState,
    records: &mut Vec<MembershipRecord>,
) -> Option<WaitReason> {
    let mut selection = StopSelection::new(input.membership, name, wave, input.now);
    if selection.is_empty() {
        return Some(selection.reason_without_candidates());
    }
    let age = input.now.since(input.list_time);
    if age > HOST_LIST_MAX_AGE {
        return Some(WaitReason::StaleList { age });
    }
    // A pool with hosts stays configured; without its budget nothing may be stopped.
    let budget = budgets.get_or_insert(input, &wave.pool)?;
    let records_before = records.len();
    let reason = loop {
        match selection.next_host(budget) {
            Ok(host) => records.push(MembershipRecord::StopStart {
                host: host.name.clone(),
                list_time: input.list_time,
                seen: host.state.version,
                wave: Some(SeenWave {
                    seen: wave.version,
                    wave: name.clone(),
                }),
            }),
            Err(reason) => break reason,
        }
    };
    (records.len() == records_before).then_some(reason)
}
