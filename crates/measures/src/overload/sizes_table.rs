use super::{
    deployment::{DEPLOYMENTS, TARGETS},
    fake_target::Excess,
    figure_table::print_figures,
    scenario::Scenario,
    workload::{Request, mixed},
};

/// Prints the table in which targets run far fewer requests at once than they declare.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_sizes() -> anyhow::Result<()> {
    const REAL: [usize; TARGETS] = [1, 2, 3, 4, 8, 8, 8, 2, 4, 8];
    let slots = REAL.iter().sum::<usize>() as f64;
    for deployment in &DEPLOYMENTS {
        let mut streams = mixed(0, slots * 0.4, (0.0, 10.0), deployment.organisations);
        streams.extend(mixed(
            0,
            slots * 0.85,
            (10.0, 30.0),
            deployment.organisations,
        ));
        let mut overload = mixed(0, slots * 0.65, (20.0, 30.0), deployment.organisations);
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
                        run.done_percent(Request::is_urgent)
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
