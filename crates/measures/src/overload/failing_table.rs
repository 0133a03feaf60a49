use super::{
    deployment::DEPLOYMENTS,
    figure_table::print_figures,
    scenario::{POOL_SLOTS, Run, Scenario},
    workload::{Request, mixed},
};

/// Prints the table in which one of ten targets fails every request immediately.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_failing() -> anyhow::Result<()> {
    for deployment in &DEPLOYMENTS {
        let streams = mixed(0, POOL_SLOTS * 0.7, (0.0, 20.0), deployment.organisations);
        let mut scenario = Scenario::new(streams);
        scenario.failing = Some(0);
        let failing_percent = |run: &Run, _: &Run| {
            let total: u32 = run.attempts.iter().sum();
            100.0 * f64::from(run.attempts[0]) / f64::from(total.max(1))
        };
        print_figures(
            deployment,
            "one of ten targets fails everything at once; load 70%",
            &scenario,
            &[
                ("attempts at the failing target, %", &failing_percent),
                ("answered in time, %", &|run, _| run.done_percent(|_| true)),
                ("urgent answered in time, %", &|run, _| {
                    run.done_percent(Request::is_urgent)
                }),
                ("sent and not answered in time, %", &|run, _| run.wasted()),
                ("refused after admission, %", &|run, _| run.refused_late()),
                ("requests without an end", &|run, _| run.open_count()),
            ],
        )?;
    }
    Ok(())
}
