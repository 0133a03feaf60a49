use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{
            DataCentre, EntryName, HostName, Incarnation, LocalTime, Millis, PoolName, RackName,
            ServiceName,
        },
        traffic::{
            Assignment, FairPolicy, FifoPolicy, OrganisationKey, PeerDemand, PlatformHost,
            PoolMember, RequestHandle, RequestSpec, RoutingView, SendOutcome, ServiceDemand,
            ServiceKey, TrafficPolicy, Urgency, ViewInput,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{fmt::Write, sync::Arc, time::Instant},
};

#[derive(Clone, Copy)]
struct FleetSize {
    services: usize,
    targets: usize,
    organisations: usize,
}

/// The measured fleet sizes; the last is the design size with its 48 pools.
const FLEET_SIZES: [FleetSize; 4] = [
    FleetSize {
        services: 5,
        targets: 50,
        organisations: 20,
    },
    FleetSize {
        services: 6,
        targets: 175,
        organisations: 35,
    },
    FleetSize {
        services: 24,
        targets: 700,
        organisations: 70,
    },
    FleetSize {
        services: 48,
        targets: 1_400,
        organisations: 140,
    },
];
/// Number of measurements of the fair policy per fleet size.
const MEASUREMENTS: usize = 5;
/// Number of requests per measurement; the baseline gets a hundredth of them.
const REQUESTS: usize = 200_000;
const START: LocalTime = LocalTime(1_000_000);

/// Prints the time of one routing decision: offer, assign and finish of one request with all slots busy.
///
/// # Errors
/// The configuration is invalid.
pub fn print_decisions() -> anyhow::Result<()> {
    println!("\n### Cost of a routing decision (all slots in use)\n");
    println!(
        "| services | targets | tenants | baseline, µs | ours, µs: median (fastest..slowest) |"
    );
    println!("|---|---|---|---|---|");
    let single_service = FLEET_SIZES.iter().map(|size| FleetSize {
        services: 1,
        ..*size
    });
    for size in single_service.chain(FLEET_SIZES) {
        let FleetSize {
            services,
            targets,
            organisations,
        } = size;
        let view = Arc::new(view_inputs(size)?.next_view(&RoutingView::default())?);
        let mut baseline = FifoPolicy::default();
        let baseline_us = decision_us(&mut baseline, &view, REQUESTS / 100);
        let mut times = Vec::new();
        for _ in 0..MEASUREMENTS {
            let mut policy = FairPolicy::new(EntryName::try_from("entry-0")?);
            times.push(decision_us(&mut policy, &view, REQUESTS));
        }
        times.sort_by(f64::total_cmp);
        let (low, high) = (times[0], times[MEASUREMENTS - 1]);
        let median = times[MEASUREMENTS / 2];
        println!(
            "| {services} | {targets} | {organisations} | {baseline_us:.2} | {median:.2} ({low:.2}..{high:.2}) |"
        );
    }
    Ok(())
}

/// Configuration, hosts and pool members of a fleet size.
struct ViewInputs {
    config: FleetConfig,
    hosts: Vec<PlatformHost>,
    members: Vec<PoolMember>,
}

impl ViewInputs {
    fn next_view(&self, previous: &RoutingView) -> anyhow::Result<RoutingView> {
        Ok(previous.next(&ViewInput {
            config: &self.config,
            data_centre: &DataCentre::try_from("c0")?,
            entry_hosts: 1,
            entry_rank: 0,
            hosts: &self.hosts,
            members: &self.members,
        }))
    }
}

fn view_inputs(size: FleetSize) -> anyhow::Result<ViewInputs> {
    let FleetSize {
        services,
        targets,
        organisations,
    } = size;
    let mut text = String::new();
    for service in 0..services {
        writeln!(
            text,
            "[[pools]]\nname = \"p{service:02}\"\nmin_available = 1"
        )?;
        writeln!(
            text,
            "[[services]]\nname = \"s{service:02}\"\npool = \"p{service:02}\""
        )?;
        writeln!(text, "max_queue = 4000")?;
    }
    for organisation in 0..organisations {
        writeln!(text, "[[tenants]]\nname = \"t{organisation:03}\"")?;
    }
    let config = FleetConfig::try_from(text.as_str())?;
    let mut hosts = Vec::new();
    let mut members = Vec::new();
    for number in 0..targets {
        let name = HostName::try_from(format!("h{number:04}"))?;
        hosts.push(PlatformHost {
            address: "10.0.0.1:80".to_owned(),
            connections: 64,
            data_centre: DataCentre::try_from(format!("c{}", number % 3))?,
            incarnation: Incarnation(1),
            leaving: false,
            name: name.clone(),
            rack: RackName::try_from("r")?,
            slots: 8,
        });
        members.push(PoolMember {
            activation: 1,
            active: true,
            host: name,
            pool: PoolName::try_from(format!("p{:02}", number % services))?,
        });
    }
    Ok(ViewInputs {
        config,
        hosts,
        members,
    })
}

/// Prints how long new digests and a new view block the policy, and how long it takes to build a view.
///
/// # Errors
/// The configuration is invalid.
pub fn print_updates() -> anyhow::Result<()> {
    println!("\n### Time to take over digests and views\n");
    println!(
        "| services | targets | tenants | entry hosts | digests, µs | view, µs | building the view, µs |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in FLEET_SIZES {
        let FleetSize {
            services,
            targets,
            organisations,
        } = size;
        for entry_hosts in [7, 40] {
            let inputs = view_inputs(size)?;
            let mut view = Arc::new(inputs.next_view(&RoutingView::default())?);
            let mut policy = FairPolicy::new(EntryName::try_from("entry-0")?);
            policy.update_view(START, Arc::clone(&view));
            let peers = digests(entry_hosts, services)?;
            let digest_update = mean_time_us(|| policy.update_peers(START, &peers));
            let view_update = mean_time_us(|| policy.update_view(START, Arc::clone(&view)));
            let view_build = mean_time_us(|| {
                if let Ok(next) = inputs.next_view(&view) {
                    view = Arc::new(next);
                }
            });
            println!(
                "| {services} | {targets} | {organisations} | {entry_hosts} | {digest_update:.0} | {view_update:.0} | {view_build:.0} |"
            );
        }
    }
    Ok(())
}

/// Returns the mean time of `action` in microseconds.
fn mean_time_us(mut action: impl FnMut()) -> f64 {
    const REPEATS: u32 = 50;
    let started = Instant::now();
    for _ in 0..REPEATS {
        action();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn digests(entry_hosts: usize, services: usize) -> anyhow::Result<Vec<PeerDemand>> {
    let digests = (0..entry_hosts).map(|number| {
        Ok(PeerDemand {
            entry: EntryName::try_from(format!("entry-{number}"))?,
            last_contact: START,
            services: (0..services)
                .map(|service| {
                    Ok(ServiceDemand {
                        requests: 50 + number as u32 % 7,
                        service: ServiceName::try_from(format!("s{service:02}"))?,
                    })
                })
                .collect::<anyhow::Result<Vec<ServiceDemand>>>()?,
        })
    });
    digests.collect()
}

/// Returns the mean time of a routing decision in microseconds.
fn decision_us(policy: &mut dyn TrafficPolicy, view: &Arc<RoutingView>, requests: usize) -> f64 {
    policy.update_view(START, Arc::clone(view));
    let slots = view.targets.len() * 8;
    let mut random = StdRng::seed_from_u64(7);
    let mut sent: Vec<Assignment> = Vec::new();
    let mut next = 0;
    let offer = |policy: &mut dyn TrafficPolicy, next: &mut u64, random: &mut StdRng, now| {
        let spec = RequestSpec {
            deadline: now + Millis(60_000),
            idempotent: true,
            service: ServiceKey(random.random_range(0..view.services.len()) as u16),
            organisation: OrganisationKey(random.random_range(0..view.organisations.len()) as u16),
            urgency: match random.random_range(0..3) {
                0 => Urgency::Urgent,
                1 => Urgency::Normal,
                _ => Urgency::Overnight,
            },
        };
        *next += 1;
        policy.offer(now, RequestHandle(*next), spec).is_ok()
    };
    while sent.len() < slots {
        offer(policy, &mut next, &mut random, START);
        sent.extend(policy.assign(START, random.random()));
    }
    for _ in 0..200 {
        offer(policy, &mut next, &mut random, START);
    }
    let started = Instant::now();
    for request in 0..requests {
        let now = START + Millis(request as u64 / 8);
        let index = random.random_range(0..sent.len());
        let ended = sent.swap_remove(index);
        let elapsed = Millis(100);
        policy.finish(now, ended, SendOutcome::Answered { elapsed });
        offer(policy, &mut next, &mut random, now);
        sent.extend(policy.assign(now, random.random()));
        if sent.is_empty() {
            break;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / requests as f64
}
