use {
    crate::clock::BootClock,
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, LocalTime, Millis},
        jobs::{JobSize, WorkerId, WorkerView},
        ledger::FleetState,
    },
    goldcreststall_platform::{
        hosts::{HostListing, HostRow, HostStatus},
        worker_service::{WorkerEndpoint, WorkerService, WorkerStatus},
    },
    std::sync::Arc,
    tokio::task::JoinSet,
};

/// The workers as they were polled last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PolledWorkers {
    pub(crate) endpoints: Vec<WorkerEndpoint>,
    pub(crate) observed_for: Millis,
    pub(crate) views: Vec<WorkerView>,
}

impl PolledWorkers {
    pub(crate) fn endpoint(&self, worker: &WorkerId) -> Option<&WorkerEndpoint> {
        let mut endpoints = self.endpoints.iter();
        endpoints.find(|endpoint| {
            endpoint.host == worker.host && endpoint.incarnation == worker.incarnation
        })
    }
}

/// Longest time between two polls that count as asking without a break.
const BREAK_LIMIT: Millis = Millis(5_000);

/// Polls the workers while this entry host places jobs.
pub(crate) struct WorkerPoller {
    clock: BootClock,
    service: Arc<dyn WorkerService>,
    /// When the workers were asked last.
    polled: Option<LocalTime>,
    /// Since when the workers are asked without a break.
    since: Option<LocalTime>,
    statuses: SortedMap<HostName, (LocalTime, WorkerStatus)>,
}

impl WorkerPoller {
    pub(crate) fn new(service: Arc<dyn WorkerService>) -> Self {
        Self {
            clock: BootClock,
            polled: None,
            service,
            since: None,
            statuses: SortedMap::default(),
        }
    }

    /// Forgets everything, because this entry host holds no placement duty.
    pub(crate) fn rest(&mut self) {
        self.since = None;
        self.statuses = SortedMap::default();
    }

    /// Asks all listed workers for their tasks.
    pub(crate) async fn poll(&mut self, hosts: &HostListing) {
        let now = self.clock.now();
        // After a freeze the statuses are old, and leases must not lapse by what they say.
        let unbroken = self
            .polled
            .is_some_and(|polled| now.since(polled) < BREAK_LIMIT);
        if !unbroken {
            self.rest();
        }
        self.polled = Some(now);
        self.since.get_or_insert(now);
        let mut calls = JoinSet::new();
        for endpoint in hosts.hosts.iter().filter_map(endpoint) {
            let service = Arc::clone(&self.service);
            calls.spawn(async move { (endpoint.host.clone(), service.status(&endpoint).await) });
        }
        for (host, status) in calls.join_all().await {
            if let Ok(status) = status {
                self.statuses.insert(host, (self.clock.now(), status));
            }
        }
    }

    /// Returns what is known of the workers of the fleet.
    pub(crate) fn workers(&self, state: &FleetState, hosts: &HostListing) -> PolledWorkers {
        let now = self.clock.now();
        let rows = hosts.hosts.iter().filter(|row| row.worker.is_some());
        let views = rows.filter_map(|row| self.view(now, state, row));
        PolledWorkers {
            endpoints: hosts.hosts.iter().filter_map(endpoint).collect(),
            observed_for: self.since.map_or(Millis(0), |since| now.since(since)),
            views: views.collect(),
        }
    }

    fn view(&self, now: LocalTime, state: &FleetState, row: &HostRow) -> Option<WorkerView> {
        let host = state.membership.hosts().get(&row.name)?;
        let status = self.statuses.get(&row.name);
        let status = status.filter(|(_, status)| status.incarnation == row.incarnation);
        Some(WorkerView {
            capacity: JobSize {
                accelerators: row.accelerators,
                cores_milli: row.cores * 1_000,
                memory_mib: row.memory_mib,
            },
            data_centre: row.data_centre.clone(),
            draining: row.status == HostStatus::Leaving || !host.is_available(),
            id: WorkerId {
                host: row.name.clone(),
                incarnation: row.incarnation,
            },
            pool: host.pool.clone(),
            rack: row.rack.clone(),
            report: status.map(|(heard, status)| status.report(now.since(*heard))),
        })
    }
}

fn endpoint(row: &HostRow) -> Option<WorkerEndpoint> {
    Some(WorkerEndpoint {
        address: row.worker?,
        host: row.name.clone(),
        incarnation: row.incarnation,
    })
}
