use {
    super::buffer_run::{BufferRun, MAX_SHORTFALL_FRACTION, buffer_input},
    crate::simulation::{DEPLOYMENTS, Deployment, PoolSpec, SEEDS, SeedSummary},
    goldcreststall_core::capacity::{BufferPlan, independent_buffer},
    std::io::{self, Write},
};

/// Prints the buffers of each deployment and how often they are too small in two weeks with the loss of one rack and
/// of one data centre.
///
/// # Errors
/// A write to `output` failed.
pub fn print_buffer(output: &mut impl Write) -> io::Result<()> {
    writeln!(
        output,
        "Buffers over two weeks with a lost rack and a lost data centre, {} seeds, median (range)",
        SEEDS.count()
    )?;
    writeln!(
        output,
        "The goal of at most {:.3}% short is for the mean. A run has one loss of a data centre, and forecast \
         errors last an hour,\nso that a single run can lie far above it. \"expected\" is what the sizes were \
         planned with.",
        MAX_SHORTFALL_FRACTION * 100.0
    )?;
    writeln!(
        output,
        "{:<10} {:<8} {:>7} {:>7} {:>10} {:>26} {:>17} {:>11} {:>8} {:>11}",
        "fleet",
        "buffer",
        "needed",
        "hosts",
        "below sum",
        "short, % of the time",
        "mean (std. error)",
        "expected, %",
        "broken",
        "unfinished"
    )?;
    DEPLOYMENTS
        .iter()
        .try_for_each(|deployment| print_rows(output, deployment))
}

fn print_rows(output: &mut impl Write, deployment: &Deployment) -> io::Result<()> {
    let joint = |pool: &PoolSpec| BufferPlan::joint_buffer(&buffer_input(pool)).hosts;
    let summed = |pool: &PoolSpec| independent_buffer(&buffer_input(pool));
    let total: u32 = deployment.working().iter().map(summed).sum();
    print_row(output, deployment, "joint", total, joint)?;
    print_row(output, deployment, "summed", total, summed)
}

/// Returns the expected fraction of pool-time in which pools with these buffers have too few hosts.
fn expected_short(deployment: &Deployment, buffer: impl Fn(&PoolSpec) -> u32) -> f64 {
    let pools = deployment.working();
    let fractions = pools
        .iter()
        .map(|pool| BufferPlan::expected_shortfall(&buffer_input(pool), buffer(pool)));
    fractions.sum::<f64>() / pools.len() as f64
}

fn print_row(
    output: &mut impl Write,
    deployment: &Deployment,
    name: &str,
    summed: u32,
    buffer: impl Fn(&PoolSpec) -> u32,
) -> io::Result<()> {
    let expected = expected_short(deployment, &buffer) * 100.0;
    let pools = deployment.working().iter().map(|pool| PoolSpec {
        hosts: (pool.min_available + buffer(pool)) as usize,
        survive: "data_centre",
        ..*pool
    });
    let pools: Vec<PoolSpec> = pools.collect();
    let needed: u32 = pools.iter().map(|pool| pool.min_available).sum();
    let hosts = pools.iter().map(|pool| pool.hosts as u32).sum::<u32>() - needed;
    let (mut short, mut violations, mut unfinished) = (SeedSummary::default(), 0, 0);
    for seed in SEEDS {
        let result = BufferRun::new(pools.clone(), seed).run();
        short.add(result.short_fraction * 100.0);
        violations += result.budget_violations;
        unfinished += result.unfinished_waves;
    }
    let mean = format!("{:.3} ({:.3})", short.mean(), short.standard_error());
    let saved = 100.0 * (1.0 - f64::from(hosts) / f64::from(summed));
    writeln!(
        output,
        "{:<10} {name:<8} {needed:>7} {hosts:>7} {saved:>9.0}% {short:>26.3} {mean:>17} {expected:>11.3} {violations:>8} {unfinished:>11}",
        deployment.name
    )
}
