use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{
            DataCentre, EntryName, HostName, Incarnation, LocalTime, Millis, PoolName, RackName,
        },
        traffic::{
            Assignment, FairPolicy, PlatformHost, PoolMember, QueuePolicy, RequestSpec,
            RoutingView, SendOutcome, ServiceKey, TenantKey, Ticket, TrafficPolicy, Urgency,
            ViewInput,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{fmt::Write, sync::Arc, time::Instant},
};

/// Targets and tenants of the measured sizes; the last is the design size.
const SIZES: [(usize, usize); 4] = [(50, 20), (175, 35), (700, 70), (1_400, 140)];
const ROUNDS: usize = 5;
const REQUESTS: usize = 200_000;
const START: LocalTime = LocalTime(1_000_000);

/// Prints the time of one decision: offer, assign and finish of one request with all slots busy.
///
/// # Errors
/// A configuration that is not valid.
pub fn print_decisions() -> anyhow::Result<()> {
    println!("\n### Cost of a routing decision (one service, all slots in use)\n");
    println!("| targets | tenants | baseline, µs | ours, µs: median (fastest..slowest) |");
    println!("|---|---|---|---|");
    for (targets, tenants) in SIZES {
        let view = Arc::new(view(targets, tenants)?);
        let mut baseline = QueuePolicy::default();
        let base = measure(&mut baseline, &view, REQUESTS / 100);
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            let mut policy = FairPolicy::new(EntryName::try_from("entry-0")?);
            times.push(measure(&mut policy, &view, REQUESTS));
        }
        times.sort_by(f64::total_cmp);
        let (low, high) = (times[0], times[ROUNDS - 1]);
        let median = times[ROUNDS / 2];
        println!("| {targets} | {tenants} | {base:.2} | {median:.2} ({low:.2}..{high:.2}) |");
    }
    Ok(())
}

fn view(targets: usize, tenants: usize) -> anyhow::Result<RoutingView> {
    let mut text = String::from(
        "[[pools]]\nname = \"p\"\nmin_available = 1\n[[services]]\nname = \"s\"\npool = \"p\"\nmax_queue = 4000\n",
    );
    for tenant in 0..tenants {
        writeln!(text, "[[tenants]]\nname = \"t{tenant:03}\"")?;
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
            pool: PoolName::try_from("p")?,
        });
    }
    Ok(RoutingView::default().next(&ViewInput {
        config: &config,
        data_centre: &DataCentre::try_from("c0")?,
        entry_hosts: 1,
        hosts: &hosts,
        members: &members,
    }))
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
            service: ServiceKey(0),
            tenant: TenantKey(random.random_range(0..view.tenants.len()) as u16),
            urgency: match random.random_range(0..3) {
                0 => Urgency::Urgent,
                1 => Urgency::Normal,
                _ => Urgency::Overnight,
            },
        };
        *next += 1;
        policy.offer(now, Ticket(*next), spec).is_ok()
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
        let took = Millis(100);
        policy.finish(now, ended, SendOutcome::Answered { took });
        offer(policy, &mut next, &mut random, now);
        sent.extend(policy.assign(now, random.random()));
        if sent.is_empty() {
            break;
        }
    }
    begin.elapsed().as_secs_f64() * 1e6 / requests as f64
}
