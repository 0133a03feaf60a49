use {
    super::{
        deployment::DEPLOYMENTS,
        figure_table::print_figures,
        scenario::{POOL, Run, Scenario},
        workload::{Request, Stream, mixed},
    },
    goldcreststall_core::traffic::Urgency,
};

/// One class of a flood and the seconds it lasts.
struct FloodPart {
    span: (f64, f64),
    urgency: Urgency,
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
            let mut streams = mixed(0, POOL * 0.6, (0.0, 25.0), deployment.organisations);
            streams.extend(parts.iter().map(|part| Stream {
                crowded: false,
                end: part.span.1,
                flood: true,
                load: POOL * 5.0,
                service: 0,
                start: part.span.0,
                organisations: (0, deployment.organisations),
                urgency: part.urgency,
            }));
            let keep = |class: Urgency| {
                move |run: &Run, quiet: &Run| {
                    let other = |request: &Request| request.urgency == class && !request.flood;
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
