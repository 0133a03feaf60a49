use {
    super::moves_run::{MoveRule, MovesRun},
    crate::simulation::{DEPLOYMENTS, Deployment, SEEDS, SeedSummary},
    std::io::{self, Write},
};

/// Prints the number of moves in 8 hours of floods with one season of sustained need in each pool.
///
/// # Errors
/// A write to `output` failed.
pub fn print_moves(output: &mut impl Write) -> io::Result<()> {
    writeln!(
        output,
        "Host moves in 8 h of floods, {} seeds, median (range); missing: lasting need without a host",
        SEEDS.count()
    )?;
    writeln!(
        output,
        "{:<10} {:<14} {:>22} {:>26}",
        "fleet", "rule", "moves", "missing, host-hours"
    )?;
    DEPLOYMENTS
        .iter()
        .try_for_each(|deployment| print_rows(output, deployment))
}

fn print_rows(output: &mut impl Write, deployment: &Deployment) -> io::Result<()> {
    let rules = [
        ("policy", MoveRule::Policy),
        ("follow floods", MoveRule::FollowFloods),
        ("no moves", MoveRule::Static),
    ];
    for (name, rule) in rules {
        let (mut moves, mut missing) = (SeedSummary::default(), SeedSummary::default());
        for seed in SEEDS {
            let result = MovesRun::new(deployment, rule, seed).run();
            moves.add(result.moves as f64);
            missing.add(result.missing_host_hours);
        }
        writeln!(
            output,
            "{:<10} {name:<14} {moves:>22.0} {missing:>26.1}",
            deployment.name
        )?;
    }
    Ok(())
}
