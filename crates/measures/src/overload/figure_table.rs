use super::{
    deployment::Deployment,
    entry_host::PolicyKind,
    scenario::{Run, SEEDS, Scenario},
    spread::Spread,
};

/// The measured policies in the order of the columns.
const KINDS: [PolicyKind; 2] = [PolicyKind::Baseline, PolicyKind::Ours];

/// Name of a figure, and the figure from a run and the same run without the flood.
pub type Figure<'a> = (&'a str, &'a dyn Fn(&Run, &Run) -> f64);

/// Prints the figures of a scenario for each policy.
///
/// # Errors
/// A deployment whose configuration is not valid.
pub fn print_figures(
    deployment: &Deployment,
    title: &str,
    scenario: &Scenario,
    figures: &[Figure<'_>],
) -> anyhow::Result<()> {
    println!("\n### {}: {title} ({SEEDS} seeds)\n", deployment.name);
    println!("| figure | baseline | ours |\n|---|---|---|");
    let mut columns = Vec::new();
    for kind in KINDS {
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
