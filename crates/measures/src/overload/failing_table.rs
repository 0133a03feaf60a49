use super::{
    deployment::DEPLOYMENTS,
    figure_table::print_figures,
    scenario::{POOL, Run, Scenario},
    workload::{Request, mixed},
};

/// Prints the table in which one target of ten fails every request at once.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_failing() -> anyhow::Result<()> {
    for deployment in &DEPLOYMENTS {
        let streams = mixed(0, POOL * 0.7, (0.0, 20.0), deployment.organisations);
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
                    run.done_percent(Request::is_urgent)
                }),
                ("sent and not answered in time, %", &|run, _| run.wasted()),
                ("refused after admission, %", &|run, _| run.refused_late()),
                ("requests without an end", &|run, _| run.vanished()),
            ],
        )?;
    }
    Ok(())
}
