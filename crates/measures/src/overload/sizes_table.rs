use super::{
    deployment::{DEPLOYMENTS, POOL_TARGETS},
    fake_target::OverloadBehaviour,
    figure_table::print_figures,
    scenario::Scenario,
    workload::{Request, mixed},
};

/// Prints the tables in which most targets have far fewer slots than they declare.
///
/// # Errors
/// The configuration of a deployment is invalid.
pub fn print_sizes() -> anyhow::Result<()> {
    /// Slots that each target really has; all declare 8.
    const REAL_SLOTS: [usize; POOL_TARGETS] = [1, 2, 3, 4, 8, 8, 8, 2, 4, 8];
    let slots = REAL_SLOTS.iter().sum::<usize>() as f64;
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
        for (target, real_slots) in REAL_SLOTS.iter().enumerate() {
            scenario.slots[target] = *real_slots;
        }
        for (on_overload, title) in [
            (
                OverloadBehaviour::Queue,
                "declared 8 slots, in fact 1 to 8, the rest queues",
            ),
            (
                OverloadBehaviour::Slow,
                "declared 8 slots, in fact 1 to 8, the rest slows all",
            ),
        ] {
            scenario.on_overload = on_overload;
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
                        run.urgent_response(0.99)
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
