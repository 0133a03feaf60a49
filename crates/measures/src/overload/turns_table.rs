use super::{
    deployment::{DEPLOYMENTS, SERVICES},
    figure_table::print_figures,
    scenario::{POOL_SLOTS, Run, Scenario},
    workload::{Request, mixed},
};

/// Mean load of a service as a fraction of its pool's slots. Five times this exceeds the pool.
const MEAN_LOAD: f64 = 0.35;

/// Prints the table in which the services in turn get five times their mean load.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_turns() -> anyhow::Result<()> {
    print_load("each service in turn asks for five times its mean", false)
}

/// Prints the table of [`print_turns`] for a load balancer that sends 57% of all requests to one entry host.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_uneven() -> anyhow::Result<()> {
    let title = "each service in turn asks for five times its mean, 57% at one entry host";
    print_load(title, true)
}

fn print_load(title: &str, skewed: bool) -> anyhow::Result<()> {
    const TURN_S: f64 = 4.0;
    for deployment in &DEPLOYMENTS {
        let mut streams = Vec::new();
        for turn in 0..2 * SERVICES {
            let start = turn as f64 * TURN_S;
            for service in 0..SERVICES {
                let factor = if turn % SERVICES == service {
                    5.0
                } else {
                    0.05
                };
                let load = POOL_SLOTS * MEAN_LOAD * factor;
                let span = (start, start + TURN_S);
                streams.extend(mixed(service, load, span, deployment.organisations));
            }
        }
        for stream in &mut streams {
            stream.skewed = skewed;
        }
        let scenario = Scenario::new(streams);
        let goodput = |run: &Run, _: &Run| {
            let spans = (0..2 * SERVICES).map(|turn| {
                let start = turn as f64 * TURN_S;
                run.goodput(turn % SERVICES, (start + 0.5, start + TURN_S), POOL_SLOTS)
            });
            spans.sum::<f64>() / (2 * SERVICES) as f64
        };
        print_figures(
            deployment,
            title,
            &scenario,
            &[
                ("goodput of the flooded pool, % of capacity", &goodput),
                ("urgent answered in time, %", &|run, _| {
                    run.done_percent(Request::is_urgent)
                }),
                ("urgent answered in time at entry host 0, %", &|run, _| {
                    run.done_percent(|request| request.is_urgent() && request.entry == 0)
                }),
                ("urgent answered in time at the others, %", &|run, _| {
                    run.done_percent(|request| request.is_urgent() && request.entry != 0)
                }),
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
    Ok(())
}
