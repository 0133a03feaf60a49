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

/// The workers with their most recent statuses.
#[derive(Clone, Debug, Default)]
pub(crate) struct PolledWorkers {
    pub(crate) endpoints: Vec<WorkerEndpoint>,
    /// How long the workers have been polled without a gap.
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

/// Maximum time between two polls for polling to count as continuous.
const MAX_POLL_GAP: Millis = Millis(5_000);

/// Polls the workers while this entry host places jobs.
pub(crate) struct WorkerPoller {
    clock: BootClock,
    service: Arc<dyn WorkerService>,
    last_polled: Option<LocalTime>,
    /// Start of the current continuous polling.
    polled_since: Option<LocalTime>,
    /// Last status of each worker, with the time at which it was received.
    statuses: SortedMap<HostName, (LocalTime, WorkerStatus)>,
}

impl WorkerPoller {
    pub(crate) fn new(service: Arc<dyn WorkerService>) -> Self {
        Self {
            clock: BootClock,
            last_polled: None,
            service,
            polled_since: None,
            statuses: SortedMap::default(),
        }
    }

    /// Discards the statuses, because this entry host holds no placement duty or did not poll for too long.
    pub(crate) fn reset(&mut self) {
        self.polled_since = None;
        self.statuses = SortedMap::default();
    }

    /// Requests the status of all listed workers.
    pub(crate) async fn poll(&mut self, listing: &HostListing) {
        let now = self.clock.now();
        // After this process was frozen, the statuses are out of date and must not make leases lapse.
        let is_continuous = self
            .last_polled
            .is_some_and(|polled| now.since(polled) < MAX_POLL_GAP);
        if !is_continuous {
            self.reset();
        }
        self.last_polled = Some(now);
        self.polled_since.get_or_insert(now);
        let mut calls = JoinSet::new();
        for endpoint in listing.hosts.iter().filter_map(endpoint) {
            let service = Arc::clone(&self.service);
            calls.spawn(async move { (endpoint.host.clone(), service.status(&endpoint).await) });
        }
        for (host, status) in calls.join_all().await {
            if let Ok(status) = status {
                self.statuses.insert(host, (self.clock.now(), status));
            }
        }
    }

    /// Returns the workers that the host list and the membership contain, with their last statuses.
    pub(crate) fn workers(&self, state: &FleetState, listing: &HostListing) -> PolledWorkers {
        let now = self.clock.now();
        let rows = listing.hosts.iter().filter(|row| row.worker.is_some());
        let views = rows.filter_map(|row| self.worker_view(now, state, row));
        PolledWorkers {
            endpoints: listing.hosts.iter().filter_map(endpoint).collect(),
            observed_for: self
                .polled_since
                .map_or(Millis(0), |since| now.since(since)),
            views: views.collect(),
        }
    }

    fn worker_view(&self, now: LocalTime, state: &FleetState, row: &HostRow) -> Option<WorkerView> {
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
            report: status.map(|(received, status)| status.report(now.since(*received))),
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
