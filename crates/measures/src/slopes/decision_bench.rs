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

/// A size of the fleet.
#[derive(Clone, Copy)]
struct Size {
    services: usize,
    targets: usize,
    organisations: usize,
}

/// The measured sizes; the last is the design size with its 48 pools.
const SIZES: [Size; 4] = [
    Size {
        services: 5,
        targets: 50,
        organisations: 20,
    },
    Size {
        services: 6,
        targets: 175,
        organisations: 35,
    },
    Size {
        services: 24,
        targets: 700,
        organisations: 70,
    },
    Size {
        services: 48,
        targets: 1_400,
        organisations: 140,
    },
];
const ROUNDS: usize = 5;
const REQUESTS: usize = 200_000;
const START: LocalTime = LocalTime(1_000_000);

/// Prints the time of one decision: offer, assign and finish of one request with all slots busy.
///
/// # Errors
/// A configuration that is not valid.
pub fn print_decisions() -> anyhow::Result<()> {
    println!("\n### Cost of a routing decision (all slots in use)\n");
    println!(
        "| services | targets | tenants | baseline, µs | ours, µs: median (fastest..slowest) |"
    );
    println!("|---|---|---|---|---|");
    let one = SIZES.iter().map(|size| Size {
        services: 1,
        ..*size
    });
    for size in one.chain(SIZES) {
        let Size {
            services,
            targets,
            organisations,
        } = size;
        let view = Arc::new(inputs(size)?.next(&RoutingView::default())?);
        let mut baseline = FifoPolicy::default();
        let base = measure(&mut baseline, &view, REQUESTS / 100);
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            let mut policy = FairPolicy::new(EntryName::try_from("entry-0")?);
            times.push(measure(&mut policy, &view, REQUESTS));
        }
        times.sort_by(f64::total_cmp);
        let (low, high) = (times[0], times[ROUNDS - 1]);
        let median = times[ROUNDS / 2];
        println!(
            "| {services} | {targets} | {organisations} | {base:.2} | {median:.2} ({low:.2}..{high:.2}) |"
        );
    }
    Ok(())
}

/// Configuration, hosts and members of a size.
struct Inputs {
    config: FleetConfig,
    hosts: Vec<PlatformHost>,
    members: Vec<PoolMember>,
}

impl Inputs {
    fn next(&self, previous: &RoutingView) -> anyhow::Result<RoutingView> {
        Ok(previous.next(&ViewInput {
            config: &self.config,
            data_centre: &DataCentre::try_from("c0")?,
            entry_hosts: 1,
            hosts: &self.hosts,
            members: &self.members,
        }))
    }
}

fn inputs(size: Size) -> anyhow::Result<Inputs> {
    let Size {
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
    Ok(Inputs {
        config,
        hosts,
        members,
    })
}

/// Prints the time that the policy is held up by new digests and by a new view.
///
/// # Errors
/// A configuration that is not valid.
pub fn print_updates() -> anyhow::Result<()> {
    println!("\n### Time to take over digests and views\n");
    println!(
        "| services | targets | tenants | entry hosts | digests, µs | view, µs | building the view, µs |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in SIZES {
        let Size {
            services,
            targets,
            organisations,
        } = size;
        for entry_hosts in [7, 40] {
            let inputs = inputs(size)?;
            let mut view = Arc::new(inputs.next(&RoutingView::default())?);
            let mut policy = FairPolicy::new(EntryName::try_from("entry-0")?);
            policy.update_view(START, Arc::clone(&view));
            let peers = digests(entry_hosts, services)?;
            let digests = repeat(|| policy.update_peers(START, &peers));
            let taken = repeat(|| policy.update_view(START, Arc::clone(&view)));
            let built = repeat(|| {
                if let Ok(next) = inputs.next(&view) {
                    view = Arc::new(next);
                }
            });
            println!(
                "| {services} | {targets} | {organisations} | {entry_hosts} | {digests:.0} | {taken:.0} | {built:.0} |"
            );
        }
    }
    Ok(())
}

/// Returns the mean time of an action in microseconds.
fn repeat(mut action: impl FnMut()) -> f64 {
    const REPEATS: u32 = 50;
    let begin = Instant::now();
    for _ in 0..REPEATS {
        action();
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
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

/// Returns the mean time of a decision in microseconds.
fn measure(policy: &mut dyn TrafficPolicy, view: &Arc<RoutingView>, requests: usize) -> f64 {
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
    let begin = Instant::now();
    for request in 0..requests {
        let now = START + Millis(request as u64 / 8);
        let place = random.random_range(0..sent.len());
        let ended = sent.swap_remove(place);
        let elapsed = Millis(100);
        policy.finish(now, ended, SendOutcome::Answered { elapsed });
        offer(policy, &mut next, &mut random, now);
        sent.extend(policy.assign(now, random.random()));
        if sent.is_empty() {
            break;
        }
    }
    begin.elapsed().as_secs_f64() * 1e6 / requests as f64
}
