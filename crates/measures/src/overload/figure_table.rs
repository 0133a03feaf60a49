use super::{
    deployment::Deployment,
    entry_host::PolicyKind,
    scenario::{Run, SEED_COUNT, Scenario},
    value_summary::ValueSummary,
};

/// The compared policies in column order.
const POLICY_KINDS: [PolicyKind; 2] = [PolicyKind::Baseline, PolicyKind::Fair];

/// Name of a figure, and a function that computes it from a run and the same run without its flood.
pub type Figure<'a> = (&'a str, &'a dyn Fn(&Run, &Run) -> f64);

/// Prints the figures of a scenario for each policy, as mean and range over the seeds.
///
/// # Errors
/// The configuration of the deployment is invalid, or a run panicked.
pub fn print_figures(
    deployment: &Deployment,
    title: &str,
    scenario: &Scenario,
    figures: &[Figure<'_>],
) -> anyhow::Result<()> {
    println!("\n### {}: {title} ({SEED_COUNT} seeds)\n", deployment.name);
    println!("| figure | baseline | ours |\n|---|---|---|");
    let mut columns = Vec::new();
    for kind in POLICY_KINDS {
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
                ValueSummary::new(&values).to_string()
            })
            .collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
    Ok(())
}
