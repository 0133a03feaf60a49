use {
    super::{DutyCommand, DutyPlan, PolledWorkers},
    crate::peering::PeerState,
    goldcreststall_core::{
        capacity::{LendInput, LendPolicy, LendSettings, PoolNeed},
        collections::SortedMap,
        duties::Duty,
        ids::{EntryName, HostName, LocalTime, LogTime, Millis, PoolName, ServiceName, WaveName},
        jobs::{LeaseRef, PlacementInput, TaskAction, TaskCommand, plan_placement},
        ledger::{FleetState, LogOffset, RecordBody},
        membership::{HostState, MembershipRecord},
        observation::{HostObserver, ListedHost, ObservationInput},
        rollout::{RolloutInput, plan_waves},
        traffic::PeerDemand,
    },
    goldcreststall_peers::wire::LogPosition,
    goldcreststall_platform::{
        hosts::HostListing,
        worker_service::{StartRequest, TaskOrder, TaskRequest, ThrottleRequest, WorkerEndpoint},
    },
};

/// Slots per target that are assumed when the host list states none; the most common number.
const DEFAULT_SLOTS: f64 = 8.0;

pub(crate) struct DutyInput<'a> {
    pub(crate) peer_state: &'a PeerState,
    pub(crate) entry: &'a EntryName,
    pub(crate) hosts: &'a HostListing,
    pub(crate) local_time: LocalTime,
    /// Estimate of the current log time.
    pub(crate) log_time: LogTime,
    pub(crate) state: &'a FleetState,
    pub(crate) workers: &'a PolledWorkers,
}

/// Plans the duties that this entry host holds.
#[derive(Debug, Default)]
pub(crate) struct DutyPlanner {
    /// Hosts that take no new work and have to become idle, with the log offset at which this was first seen.
    draining: SortedMap<HostName, LogOffset>,
    lending: Option<LendPolicy>,
    observer: HostObserver,
    /// The last logged wait reason of each wave.
    wait_reasons: SortedMap<WaveName, String>,
}

impl DutyPlanner {
    pub(crate) fn plan(&mut self, input: &DutyInput<'_>) -> DutyPlan {
        let mut plan = DutyPlan::default();
        self.record_draining(input);
        if input.peer_state.holds(&Duty::HostObservation) {
            self.observe_hosts(input, &mut plan);
        }
        self.advance_waves(input, &mut plan);
        if input.peer_state.holds(&Duty::Moves) {
            self.lend_hosts(input, &mut plan);
        }
        for pool in &input.state.config.fleet().pools {
            if input.peer_state.holds(&Duty::Placement(pool.name.clone())) {
                place_jobs(input, &pool.name, &mut plan);
            }
        }
        plan
    }

    /// Records the log offset that a peer must have applied to know that a host takes no new work.
    fn record_draining(&mut self, input: &DutyInput<'_>) {
        let hosts = input.state.membership.hosts();
        self.draining
            .retain(|name, _| hosts.get(name).is_some_and(|host| !host.is_available()));
        for (name, _) in hosts.iter().filter(|(_, host)| !host.is_available()) {
            if !self.draining.contains(name) {
                self.draining.insert(name.clone(), input.state.next());
            }
        }
    }

    fn observe_hosts(&mut self, input: &DutyInput<'_>, plan: &mut DutyPlan) {
        let mut list: Vec<ListedHost> = input
            .hosts
            .hosts
            .iter()
            .map(|row| ListedHost {
                incarnation: row.incarnation,
                name: row.name.clone(),
            })
            .collect();
        list.sort();
        let draining = &self.draining;
        let idle = |host: &HostName| is_idle(input, draining, host);
        let records = self.observer.observe(&ObservationInput {
            idle: &idle,
            list: &list,
            list_time: input.hosts.observed,
            local_time: input.local_time,
            membership: &input.state.membership,
        });
        for record in records {
            plan.log_lines.push(format!("wave: observed: {record}"));
            plan.records.push(RecordBody::Membership(record));
        }
        let hosts = input.state.membership.hosts().iter();
        plan.commands
            .extend(hosts.filter_map(|(name, host)| reboot_command(name, host)));
    }

    fn advance_waves(&mut self, input: &DutyInput<'_>, plan: &mut DutyPlan) {
        let rollout = plan_waves(RolloutInput {
            config: input.state.config.fleet(),
            list_time: input.hosts.observed,
            membership: &input.state.membership,
            now: input.log_time,
        });
        for record in rollout.records {
            let pool = record_pool(input.state, &record);
            if pool.is_some_and(|pool| input.peer_state.holds(&Duty::Waves(pool))) {
                plan.log_lines.push(format!("wave: planned: {record}"));
                plan.records.push(RecordBody::Membership(record));
            }
        }
        for wave in rollout.waves {
            let wait = wave.wait.map_or_else(String::new, |wait| wait.to_string());
            let previous = self.wait_reasons.insert(wave.wave.clone(), wait.clone());
            if !wait.is_empty() && previous.as_ref() != Some(&wait) {
                plan.log_lines
                    .push(format!("wave: {} waits: {wait}", wave.wave));
            }
        }
    }

    fn lend_hosts(&mut self, input: &DutyInput<'_>, plan: &mut DutyPlan) {
        let fleet = input.state.config.fleet();
        let Some(spare) = fleet.pools.iter().find(|pool| pool.spare) else {
            self.lending = None;
            return;
        };
        let policy = self
            .lending
            .get_or_insert_with(|| LendPolicy::new(LendSettings::new(spare.name.clone())));
        let lend_input = LendInput {
            config: fleet,
            list_time: input.hosts.observed,
            membership: &input.state.membership,
            now: input.log_time,
        };
        let demand = input.peer_state.demand(input.entry);
        for pool in &fleet.pools {
            let need = PoolNeed {
                hosts: needed_hosts(input, &demand, &pool.name),
                pool: pool.name.clone(),
            };
            policy.observe(input.log_time, &need, lend_input.capacity(&pool.name));
        }
        for record in policy.plan(lend_input) {
            plan.log_lines.push(format!("move: planned: {record}"));
            plan.records.push(RecordBody::Membership(record));
        }
    }
}

/// Returns whether a host has neither requests in flight nor leased jobs.
fn is_idle(
    input: &DutyInput<'_>,
    draining: &SortedMap<HostName, LogOffset>,
    host: &HostName,
) -> bool {
    let Some(first_seen) = draining.get(host) else {
        return false;
    };
    let position = LogPosition {
        log: input.state.log(),
        next: *first_seen,
    };
    let mut jobs = input.state.jobs.jobs().values();
    let leased = jobs.any(|job| job.lease().is_some_and(|lease| lease.worker.host == *host));
    !leased && input.peer_state.is_idle(host, position)
}

fn reboot_command(name: &HostName, host: &HostState) -> Option<DutyCommand> {
    let stop = host.stop()?;
    stop.drained?;
    Some(DutyCommand::Reboot(name.clone(), host.version.incarnation))
}

/// Returns the pool whose wave duty covers a record.
fn record_pool(state: &FleetState, record: &MembershipRecord) -> Option<PoolName> {
    match record {
        MembershipRecord::HostDown { host, .. } | MembershipRecord::StopStart { host, .. } => {
            let host = state.membership.hosts().get(host)?;
            Some(host.pool.clone())
        }
        MembershipRecord::WaveFinish { wave, .. } => {
            let wave = state.membership.waves().get(wave)?;
            Some(wave.pool.clone())
        }
        _ => None,
    }
}

/// Returns the number of hosts, fractional, that the current demand for the services of a pool occupies.
fn needed_hosts(input: &DutyInput<'_>, demand: &[PeerDemand], pool: &PoolName) -> f64 {
    let fleet = input.state.config.fleet();
    let services = fleet
        .services
        .iter()
        .filter(|service| service.pool == *pool);
    let names: Vec<&ServiceName> = services.map(|service| &service.name).collect();
    let rows = demand.iter().flat_map(|peer| &peer.services);
    let requests: u32 = rows
        .filter(|row| names.contains(&&row.service))
        .map(|row| row.requests)
        .sum();
    let members = input.hosts.hosts.iter().filter(|row| {
        let host = input.state.membership.hosts().get(&row.name);
        host.is_some_and(|host| host.pool == *pool)
    });
    let (count, slots) = members.fold((0_u32, 0_u32), |(count, slots), row| {
        (count + 1, slots + row.slots)
    });
    let slots = if slots == 0 {
        DEFAULT_SLOTS
    } else {
        f64::from(slots) / f64::from(count)
    };
    f64::from(requests) / slots
}

fn place_jobs(input: &DutyInput<'_>, pool: &PoolName, plan: &mut DutyPlan) {
    let placement = plan_placement(&PlacementInput {
        config: input.state.config.fleet(),
        ledger: &input.state.jobs,
        now: input.log_time,
        observed_for: input.workers.observed_for,
        pool,
        workers: &input.workers.views,
    });
    let lines = placement.decisions.iter().map(ToString::to_string);
    plan.log_lines.extend(lines);
    plan.records
        .extend(placement.records.into_iter().map(RecordBody::Job));
    let commands = placement.commands.iter();
    plan.commands
        .extend(commands.filter_map(|command| task_command(input, command)));
}

fn task_command(input: &DutyInput<'_>, command: &TaskCommand) -> Option<DutyCommand> {
    let endpoint = input.workers.endpoint(&command.worker)?.clone();
    let task = TaskRequest {
        grant: command.lease.grant,
        incarnation: command.worker.incarnation,
        job: command.lease.job,
    };
    Some(match command.action {
        TaskAction::Checkpoint => DutyCommand::Checkpoint(endpoint, task),
        TaskAction::Fence => DutyCommand::Fence(endpoint, task),
        TaskAction::Forget => DutyCommand::Forget(endpoint, task),
        TaskAction::Start => start_command(input, endpoint, task, command.lease)?,
        TaskAction::Stop => DutyCommand::Stop(endpoint, task),
        TaskAction::Throttle(percent) => {
            DutyCommand::Throttle(endpoint, ThrottleRequest { percent, task })
        }
    })
}

fn start_command(
    input: &DutyInput<'_>,
    endpoint: WorkerEndpoint,
    task: TaskRequest,
    lease: LeaseRef,
) -> Option<DutyCommand> {
    let job = input.state.jobs.leased(lease)?;
    let remaining: Millis = job.lease()?.expiry.since(input.log_time);
    let request = StartRequest {
        lease: remaining,
        order: TaskOrder {
            checkpoint: job.checkpoint.clone(),
            payload: job.spec.payload.clone(),
            service: job.spec.service.clone(),
            size: input.state.jobs.estimates().size(&job.spec),
            organisation: job.spec.organisation.clone(),
        },
        task,
    };
    Some(DutyCommand::Start(endpoint, Box::new(request)))
}
