use {
    super::{
        deployment::DEPLOYMENTS,
        figure_table::print_figures,
        scenario::{POOL_SLOTS, Run, Scenario},
        workload::{Request, Stream, mixed},
    },
    goldcreststall_core::traffic::Urgency,
};

/// A part of a flood with requests of one class; `span` is its start and end in seconds.
struct FloodPhase {
    span: (f64, f64),
    urgency: Urgency,
}

/// Prints the tables of floods of the least urgent work, of the most urgent work, and of both in succession.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_floods() -> anyhow::Result<()> {
    /// Start and end of a flood in seconds.
    const FLOOD: (f64, f64) = (5.0, 15.0);
    let flood = |urgency, span: (f64, f64)| FloodPhase { span, urgency };
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
        for (title, phases) in &floods {
            let mut streams = mixed(0, POOL_SLOTS * 0.6, (0.0, 25.0), deployment.organisations);
            streams.extend(phases.iter().map(|phase| Stream {
                skewed: false,
                end: phase.span.1,
                flood: true,
                load: POOL_SLOTS * 5.0,
                service: 0,
                start: phase.span.0,
                organisations: (0, deployment.organisations),
                urgency: phase.urgency,
            }));
            // Requests answered in time, as a percentage of those answered in time without the flood.
            let kept = |class: Urgency| {
                move |run: &Run, quiet: &Run| {
                    let other = |request: &Request| request.urgency == class && !request.flood;
                    100.0 * run.count_done(other) as f64 / quiet.count_done(other).max(1) as f64
                }
            };
            let goodput = |run: &Run, _: &Run| run.goodput(0, (FLOOD.0 + 0.5, FLOOD.1), POOL_SLOTS);
            print_figures(
                deployment,
                title,
                &Scenario::new(streams),
                &[
                    ("goodput of the flooded pool, % of capacity", &goodput),
                    ("other urgent work kept, %", &kept(Urgency::Urgent)),
                    ("other normal work kept, %", &kept(Urgency::Normal)),
                    ("other overnight work kept, %", &kept(Urgency::Overnight)),
                    ("urgent start, 99th percentile, ms", &|run, _| {
                        run.urgent_start(0.99)
                    }),
                    ("urgent start, longest, ms", &|run, _| run.urgent_start(1.0)),
                    ("admitted overnight work in time, %", &|run, _| {
                        run.overnight_done_percent()
                    }),
                    ("sent and not answered in time, %", &|run, _| run.wasted()),
                    ("refused after admission, %", &|run, _| run.refused_late()),
                    ("requests without an end", &|run, _| run.open_count()),
                ],
            )?;
        }
    }
    Ok(())
}
