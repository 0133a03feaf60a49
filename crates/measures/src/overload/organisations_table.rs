use {
    super::{
        deployment::DEPLOYMENTS,
        figure_table::print_figures,
        scenario::{POOL_SLOTS, Run, Scenario},
        workload::{Request, Stream, mixed},
    },
    goldcreststall_core::traffic::Urgency,
};

/// Prints the tables in which one organisation floods a service that all organisations share.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_organisations() -> anyhow::Result<()> {
    /// Start and end of the flood in seconds.
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
            let mut streams = mixed(0, POOL_SLOTS * 0.7, (0.0, 20.0), deployment.organisations);
            streams.push(Stream {
                skewed: false,
                end: FLOOD.1,
                flood: true,
                load: POOL_SLOTS * 5.0,
                service: 0,
                start: FLOOD.0,
                organisations: (0, 1),
                urgency,
            });
            // Requests answered in time, as a percentage of those answered in time without the flood.
            let kept = |run: &Run, quiet: &Run, organisation: usize, class: Option<Urgency>| {
                let matches = |request: &Request| {
                    request.organisation == organisation
                        && class.is_none_or(|class| request.urgency == class)
                };
                100.0 * run.count_done(matches) as f64 / quiet.count_done(matches).max(1) as f64
            };
            let organisations = 1..deployment.organisations;
            let mean_kept = |run: &Run, quiet: &Run, class: Option<Urgency>| {
                let sum: f64 = organisations
                    .clone()
                    .map(|organisation| kept(run, quiet, organisation, class))
                    .sum();
                sum / organisations.len() as f64
            };
            let min_kept = |run: &Run, quiet: &Run| {
                let kept = organisations
                    .clone()
                    .map(|organisation| kept(run, quiet, organisation, None));
                kept.fold(f64::MAX, f64::min)
            };
            let goodput = |run: &Run, _: &Run| run.goodput(0, (FLOOD.0 + 0.5, FLOOD.1), POOL_SLOTS);
            print_figures(
                deployment,
                title,
                &Scenario::new(streams),
                &[
                    ("goodput of the flooded pool, % of capacity", &goodput),
                    ("kept by the other tenants, mean, %", &|run, quiet| {
                        mean_kept(run, quiet, None)
                    }),
                    ("kept by the tenant that keeps least, %", &min_kept),
                    ("urgent work kept by the others, %", &|run, quiet| {
                        mean_kept(run, quiet, Some(Urgency::Urgent))
                    }),
                    ("normal work kept by the others, %", &|run, quiet| {
                        mean_kept(run, quiet, Some(Urgency::Normal))
                    }),
                    ("overnight work kept by the others, %", &|run, quiet| {
                        mean_kept(run, quiet, Some(Urgency::Overnight))
                    }),
                    ("requests without an end", &|run, _| run.open_count()),
                ],
            )?;
        }
    }
    Ok(())
}
