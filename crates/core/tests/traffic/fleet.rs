use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{
            DataCentre, EntryName, HostName, Incarnation, LocalTime, Millis, OrganisationName,
            PoolName, RackName, ServiceName,
        },
        traffic::{
            Assignment, FairPolicy, OrganisationKey, PeerDemand, PlatformHost, PoolMember,
            RequestHandle, RequestSpec, RoutingView, SendOutcome, ServiceDemand, ServiceKey,
            TrafficPolicy, Urgency, ViewInput,
        },
    },
    proptest::{prelude::ProptestConfig, test_runner::RngSeed},
    std::{fmt::Write, sync::Arc},
};

pub const START: LocalTime = LocalTime(1_000_000);

/// Input of routing views; a test may change it between two views.
pub struct Fleet {
    pub config: FleetConfig,
    pub entry_rank: u32,
    pub hosts: Vec<PlatformHost>,
    pub members: Vec<PoolMember>,
}

impl Fleet {
    /// Each service has a pool of `targets` hosts with 8 slots; all organisations have weight one.
    pub fn new(services: usize, targets: usize, organisations: usize) -> Self {
        let mut fleet = Self {
            config: config(services, organisations),
            entry_rank: 0,
            hosts: Vec::new(),
            members: Vec::new(),
        };
        for service in 0..services {
            for target in 0..targets {
                fleet.add_host(service, target);
            }
        }
        fleet
    }

    pub fn add_host(&mut self, service: usize, target: usize) {
        let name = host(service, target);
        self.hosts.push(PlatformHost {
            address: format!("10.0.{service}.{target}:80"),
            connections: 64,
            data_centre: data_centre_name(target % 3),
            incarnation: Incarnation(1),
            leaving: false,
            name: name.clone(),
            rack: RackName::try_from("r1").unwrap(),
            slots: 8,
        });
        self.members.push(PoolMember {
            activation: 1,
            active: true,
            host: name,
            pool: PoolName::try_from(format!("p{service}")).unwrap(),
        });
    }

    pub fn view(&self, previous: &RoutingView) -> Arc<RoutingView> {
        Arc::new(previous.next(&ViewInput {
            config: &self.config,
            data_centre: &data_centre_name(0),
            entry_hosts: 7,
            entry_rank: self.entry_rank,
            hosts: &self.hosts,
            members: &self.members,
        }))
    }

    pub fn policy(&self, entry: usize) -> (FairPolicy, Arc<RoutingView>) {
        let view = self.view(&RoutingView::default());
        let mut policy = FairPolicy::new(entry_name(entry));
        policy.update_view(START, Arc::clone(&view));
        (policy, view)
    }
}

pub fn config(services: usize, organisations: usize) -> FleetConfig {
    let mut text = String::new();
    for service in 0..services {
        writeln!(text, "[[pools]]\nname = \"p{service}\"\nmin_available = 1").unwrap();
        writeln!(
            text,
            "[[services]]\nname = \"s{service}\"\npool = \"p{service}\""
        )
        .unwrap();
    }
    for organisation in 0..organisations {
        writeln!(text, "[[tenants]]\nname = \"t{organisation}\"").unwrap();
    }
    FleetConfig::try_from(text.as_str()).unwrap()
}

pub fn data_centre_name(number: usize) -> DataCentre {
    DataCentre::try_from(format!("dc{number}")).unwrap()
}

pub fn entry_name(number: usize) -> EntryName {
    EntryName::try_from(format!("e{number}")).unwrap()
}

pub fn host(service: usize, target: usize) -> HostName {
    HostName::try_from(format!("h{service}-{target}")).unwrap()
}

/// Digests of `count` entry hosts with equal demand for service `s0`.
pub fn equal_digests(now: LocalTime, count: usize, requests: u32) -> Vec<PeerDemand> {
    let digests = (0..count).map(|entry| PeerDemand {
        entry: entry_name(entry),
        last_contact: now,
        services: vec![ServiceDemand {
            requests,
            service: ServiceName::try_from("s0").unwrap(),
        }],
    });
    digests.collect()
}

pub fn spec(
    view: &RoutingView,
    organisation: usize,
    urgency: Urgency,
    deadline: LocalTime,
) -> RequestSpec {
    let service = ServiceName::try_from("s0").unwrap();
    let organisation = OrganisationName::try_from(format!("t{organisation}")).unwrap();
    RequestSpec {
        deadline,
        idempotent: true,
        service: view.service(&service).unwrap_or(ServiceKey(0)),
        organisation: view
            .organisation(&organisation)
            .unwrap_or(OrganisationKey(0)),
        urgency,
    }
}

/// Requests in flight, which complete after a fixed time.
#[derive(Default)]
pub struct PendingRequests {
    pub sent: Vec<(LocalTime, Assignment)>,
}

impl PendingRequests {
    pub fn complete_due(
        &mut self,
        policy: &mut FairPolicy,
        now: LocalTime,
        elapsed: Millis,
    ) -> Vec<RequestHandle> {
        let mut ended = Vec::new();
        self.sent.retain(|(sent, assignment)| {
            let due = now.since(*sent) >= elapsed;
            if due {
                policy.finish(now, *assignment, SendOutcome::Answered { elapsed });
                ended.push(assignment.handle);
            }
            !due
        });
        ended
    }
}

pub fn test_config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}
