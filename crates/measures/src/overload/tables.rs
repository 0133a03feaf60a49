use {
    super::{
        deployment::{DEPLOYMENTS, Deployment, SERVICES, SLOTS, TARGETS},
        entry_host::PolicyKind,
        fake_target::Excess,
        scenario::{POOL, Run, SEEDS, Scenario},
        spread::Spread,
        workload::Stream,
    },
    goldcreststall_core::traffic::Urgency,
};

/// Part of each class in mixed work, by slot time.
const MIX: [(Urgency, f64); 3] = [
    (Urgency::Urgent, 0.3),
    (Urgency::Normal, 0.5),
    (Urgency::Overnight, 0.2),
];
/// Mean load of a service relative to its pool; five times as much is more than the pool holds.
const MEAN_LOAD: f64 = 0.35;

const KINDS: [(PolicyKind, &str); 2] = [
    (PolicyKind::Baseline, "baseline"),
    (PolicyKind::Ours, "ours"),
];

/// One class of a flood and the seconds it lasts.
struct FloodPart {
    span: (f64, f64),
    urgency: Urgency,
}

type Figure<'a> = (&'a str, &'a dyn Fn(&Run, &Run) -> f64);

/// Prints the figures of a scenario; each gets the run and the run without the flood.
fn print_figures(
    deployment: &Deployment,
    title: &str,
    scenario: &Scenario,
    figures: &[Figure<'_>],
) -> anyhow::Result<()> {
    println!("\n### {}: {title} ({SEEDS} seeds)\n", deployment.name);
    println!("| figure | baseline | ours |\n|---|---|---|");
    let mut columns = Vec::new();
    for (kind, _) in KINDS {
        let runs = scenario.run(deployment, kind)?;
        let quiet = scenario.without_flood().run(deployment, kind)?;
        columns.push((runs, quiet));
    }
    for (name, figure) in figures {
        let cells: Vec<String> = columns
            .iter()
            .map(|(runs, quiet)| {
                let pairs = runs.iter().zip(quiet);
                let values: Vec<f64> = pairs.map(|(run, quiet)| figure(run, quiet)).collect();
                Spread::of(&values).to_string()
            })
            .collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
    Ok(())
}

fn mixed(service: usize, load: f64, span: (f64, f64), tenants: usize) -> Vec<Stream> {
    let streams = MIX.iter().map(|(urgency, part)| Stream {
        end: span.1,
        flood: false,
        load: load * part,
        service,
        start: span.0,
        tenants: (0, tenants),
        urgency: *urgency,
    });
    streams.collect()
}

fn is_urgent(request: &super::workload::Request) -> bool {
    request.urgency == Urgency::Urgent
}

/// Prints the table in which each service in turn asks for five times its mean.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_turns() -> anyhow::Result<()> {
    const TURN: f64 = 4.0;
    for deployment in &DEPLOYMENTS {
        let mut streams = Vec::new();
        for turn in 0..2 * SERVICES {
            let start = turn as f64 * TURN;
            for service in 0..SERVICES {
                let factor = if turn % SERVICES == service {
                    5.0
                } else {
                    0.05
                };
                let load = POOL * MEAN_LOAD * factor;
                let span = (start, start + TURN);
                streams.extend(mixed(service, load, span, deployment.tenants));
            }
        }
        let scenario = Scenario::new(streams);
        let goodput = |run: &Run, _: &Run| {
            let spans = (0..2 * SERVICES).map(|turn| {
                let start = turn as f64 * TURN;
                run.goodput(turn % SERVICES, (start + 0.5, start + TURN), POOL)
            });
            spans.sum::<f64>() / (2 * SERVICES) as f64
        };
        print_figures(
            deployment,
            "each service in turn asks for five times its mean",
            &scenario,
            &[
                ("goodput of the flooded pool, % of capacity", &goodput),
                ("urgent answered in time, %", &|run, _| {
                    run.done_percent(is_urgent)
                }),
                ("urgent start, 99th percentile, ms", &|run, _| {
                    run.urgent_start(0.99)
                }),
                ("urgent start, longest, ms", &|run, _| run.urgent_start(1.0)),
                ("admitted overnight work in time, %", &|run, _| {
                    run.overnight_kept()
                }),
                ("sent and not answered in time, %", &|run, _| run.wasted()),
                ("refused after admission, %", &|run, _| run.refused_late()),
                ("requests without an end", &|run, _| run.vanished()),
            ],
        )?;
    }
    Ok(())
}

/// Prints the tables of a flood of the least urgent and one of the most urgent work.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_floods() -> anyhow::Result<()> {
    const FLOOD: (f64, f64) = (5.0, 15.0);
    let flood = |urgency, span: (f64, f64)| FloodPart { span, urgency };
    let floods = [
        (
            "flood of overnight work, five times the pool",
            vec![flood(Urgency::Overnight, FLOOD)],
        ),
        (
            "flood of urgent work, five times the pool",
            vec![flood(Urgency::Urgent, FLOOD)],
        ),
        (
            "flood of overnight work, then of urgent work",
            vec![
                flood(Urgency::Overnight, (FLOOD.0, 10.0)),
                flood(Urgency::Urgent, (10.0, FLOOD.1)),
            ],
        ),
    ];
    for deployment in &DEPLOYMENTS {
        for (title, parts) in &floods {
            let mut streams = mixed(0, POOL * 0.6, (0.0, 25.0), deployment.tenants);
            streams.extend(parts.iter().map(|part| Stream {
                end: part.span.1,
                flood: true,
                load: POOL * 5.0,
                service: 0,
                start: part.span.0,
                tenants: (0, deployment.tenants),
                urgency: part.urgency,
            }));
            let keep = |class: Urgency| {
                move |run: &Run, quiet: &Run| {
                    let other = |request: &super::workload::Request| {
                        request.urgency == class && !request.flood
                    };
                    100.0 * run.done(other) as f64 / quiet.done(other).max(1) as f64
                }
            };
            let goodput = |run: &Run, _: &Run| run.goodput(0, (FLOOD.0 + 0.5, FLOOD.1), POOL);
            print_figures(
                deployment,
                title,
                &Scenario::new(streams),
                &[
                    ("goodput of the flooded pool, % of capacity", &goodput),
                    ("other urgent work kept, %", &keep(Urgency::Urgent)),
                    ("other normal work kept, %", &keep(Urgency::Normal)),
                    ("other overnight work kept, %", &keep(Urgency::Overnight)),
                    ("urgent start, 99th percentile, ms", &|run, _| {
                        run.urgent_start(0.99)
                    }),
                    ("urgent start, longest, ms", &|run, _| run.urgent_start(1.0)),
                    ("admitted overnight work in time, %", &|run, _| {
                        run.overnight_kept()
                    }),
                    ("sent and not answered in time, %", &|run, _| run.wasted()),
                    ("refused after admission, %", &|run, _| run.refused_late()),
                    ("requests without an end", &|run, _| run.vanished()),
                ],
            )?;
        }
    }
    Ok(())
}

/// Prints the tables in which one tenant floods a service that all tenants share.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_tenants() -> anyhow::Result<()> {
    const FLOOD: (f64, f64) = (5.0, 15.0);
    let floods = [
        (
            Urgency::Normal,
            "one tenant floods with normal work, five times the pool",
        ),
        (
            Urgency::Urgent,
            "one tenant floods with urgent work, five times the pool",
        ),
    ];
    for deployment in &DEPLOYMENTS {
        for (urgency, title) in floods {
            let mut streams = mixed(0, POOL * 0.7, (0.0, 20.0), deployment.tenants);
            streams.push(Stream {
                end: FLOOD.1,
                flood: true,
                load: POOL * 5.0,
                service: 0,
                start: FLOOD.0,
                tenants: (0, 1),
                urgency,
            });
            let kept = |run: &Run, quiet: &Run, tenant: usize, class: Option<Urgency>| {
                let own = |request: &super::workload::Request| {
                    request.tenant == tenant && class.is_none_or(|class| request.urgency == class)
                };
                100.0 * run.done(own) as f64 / quiet.done(own).max(1) as f64
            };
            let tenants = 1..deployment.tenants;
            let mean = |run: &Run, quiet: &Run, class: Option<Urgency>| {
                let sum: f64 = tenants
                    .clone()
                    .map(|tenant| kept(run, quiet, tenant, class))
                    .sum();
                sum / tenants.len() as f64
            };
            let least = |run: &Run, quiet: &Run| {
                let kept = tenants.clone().map(|tenant| kept(run, quiet, tenant, None));
                kept.fold(f64::MAX, f64::min)
            };
            let goodput = |run: &Run, _: &Run| run.goodput(0, (FLOOD.0 + 0.5, FLOOD.1), POOL);
            print_figures(
                deployment,
                title,
                &Scenario::new(streams),
                &[
                    ("goodput of the flooded pool, % of capacity", &goodput),
                    ("kept by the other tenants, mean, %", &|run, quiet| {
                        mean(run, quiet, None)
                    }),
                    ("kept by the tenant that keeps least, %", &least),
                    ("urgent work kept by the others, %", &|run, quiet| {
                        mean(run, quiet, Some(Urgency::Urgent))
                    }),
                    ("normal work kept by the others, %", &|run, quiet| {
                        mean(run, quiet, Some(Urgency::Normal))
                    }),
                    ("overnight work kept by the others, %", &|run, quiet| {
                        mean(run, quiet, Some(Urgency::Overnight))
                    }),
                    ("requests without an end", &|run, _| run.vanished()),
                ],
            )?;
        }
    }
    Ok(())
}

/// Prints the table in which targets run far fewer requests at once than they declare.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_sizes() -> anyhow::Result<()> {
    const REAL: [usize; TARGETS] = [1, 2, 3, 4, 8, 8, 8, 2, 4, 8];
    let slots = REAL.iter().sum::<usize>() as f64;
    for deployment in &DEPLOYMENTS {
        let mut streams = mixed(0, slots * 0.4, (0.0, 10.0), deployment.tenants);
        streams.extend(mixed(0, slots * 0.85, (10.0, 30.0), deployment.tenants));
        let mut overload = mixed(0, slots * 0.65, (20.0, 30.0), deployment.tenants);
        for stream in &mut overload {
            stream.flood = true;
        }
        streams.extend(overload);
        let mut scenario = Scenario::new(streams);
        for (number, real) in REAL.iter().enumerate() {
            scenario.slots[number] = *real;
        }
        for (excess, title) in [
            (
                Excess::Queue,
                "declared 8 slots, in fact 1 to 8, the rest queues",
            ),
            (
                Excess::Slow,
                "declared 8 slots, in fact 1 to 8, the rest slows all",
            ),
        ] {
            scenario.excess = excess;
            print_figures(
                deployment,
                title,
                &scenario,
                &[
                    ("goodput at 85% load, % of the offered load", &|run, _| {
                        run.goodput(0, (12.0, 20.0), slots * 0.85)
                    }),
                    ("goodput at 150% load, % of the real slots", &|run, _| {
                        run.goodput(0, (20.5, 30.0), slots)
                    }),
                    ("urgent answered in time, %", &|run, _| {
                        run.done_percent(is_urgent)
                    }),
                    ("urgent answer, 99th percentile, ms", &|run, _| {
                        run.urgent_answer(0.99)
                    }),
                    ("urgent start, longest, ms", &|run, _| run.urgent_start(1.0)),
                    ("admitted overnight work in time, %", &|run, _| {
                        run.overnight_kept()
                    }),
                    ("sent and not answered in time, %", &|run, _| run.wasted()),
                    ("refused after admission, %", &|run, _| run.refused_late()),
                    ("requests without an end", &|run, _| run.vanished()),
                ],
            )?;
        }
    }
    Ok(())
}

/// Prints the table in which one target of ten fails every request at once.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_failing() -> anyhow::Result<()> {
    for deployment in &DEPLOYMENTS {
        let streams = mixed(0, POOL * 0.7, (0.0, 20.0), deployment.tenants);
        let mut scenario = Scenario::new(streams);
        scenario.failing = Some(0);
        let share = |run: &Run, _: &Run| {
            let all: u32 = run.attempts.iter().sum();
            100.0 * f64::from(run.attempts[0]) / f64::from(all.max(1))
        };
        print_figures(
            deployment,
            "one of ten targets fails everything at once; load 70%",
            &scenario,
            &[
                ("attempts at the failing target, %", &share),
                ("answered in time, %", &|run, _| run.done_percent(|_| true)),
                ("urgent answered in time, %", &|run, _| {
                    run.done_percent(is_urgent)
                }),
                ("sent and not answered in time, %", &|run, _| run.wasted()),
                ("refused after admission, %", &|run, _| run.refused_late()),
                ("requests without an end", &|run, _| run.vanished()),
            ],
        )?;
    }
    debug_assert_eq!(SLOTS * TARGETS, POOL as usize);
    Ok(())
}
