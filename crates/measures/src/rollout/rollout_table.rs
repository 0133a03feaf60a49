use {
    super::rollout_run::{PoolResult, RolloutResult, RolloutRun, StopRule},
    crate::simulation::{DEPLOYMENTS, Deployment, SEEDS, SeedSummary},
    goldcreststall_core::ids::Millis,
    std::io::{self, Write},
};

/// Longest duration relative to the lower bound that meets the goal.
const GOAL_RATIO: f64 = 1.25;

/// Durations of one pool or one fleet over the seeds: lower bound and roll-outs in minutes, and their ratios.
#[derive(Debug, Default)]
struct RolloutRow {
    random_order_ratio: SeedSummary,
    bound: SeedSummary,
    planned: SeedSummary,
    planned_ratio: SeedSummary,
    single: SeedSummary,
    single_ratio: SeedSummary,
}

impl RolloutRow {
    fn add(&mut self, planned: PoolResult, single: PoolResult) {
        let minutes = |time: Millis| time.0 as f64 / 60_000.0;
        let bound = minutes(planned.lower_bound);
        self.random_order_ratio
            .add(minutes(planned.random_order) / bound);
        self.bound.add(bound);
        self.planned.add(minutes(planned.duration));
        self.planned_ratio.add(minutes(planned.duration) / bound);
        self.single.add(minutes(single.duration));
        self.single_ratio.add(minutes(single.duration) / bound);
    }

    fn print(&self, output: &mut impl Write, name: &str) -> io::Result<()> {
        writeln!(
            output,
            "{name:<24} {:>21.1} {:>21.1} {:>23.1} {:>20.2} {:>20.2} {:>20.2}",
            self.bound,
            self.planned,
            self.single,
            self.planned_ratio,
            self.random_order_ratio,
            self.single_ratio
        )
    }
}

/// Prints the duration of a roll-out over all pools of each deployment.
///
/// # Errors
/// A write to `output` failed.
pub fn print_rollout(output: &mut impl Write) -> io::Result<()> {
    writeln!(
        output,
        "Roll-out over all pools, {} seeds, median (range)",
        SEEDS.count()
    )?;
    writeln!(
        output,
        "The lower bound knows each drain and reboot time beforehand, so it can place the longest stops first; the \
         planner does not.\n\"random\" is the mean of the same stops in random order, also without \
         knowledge of their times."
    )?;
    writeln!(
        output,
        "{:<24} {:>21} {:>21} {:>23} {:>20} {:>20} {:>20}",
        "pool",
        "lower bound, min",
        "planned, min",
        "one at a time, min",
        "planned/bound",
        "random/bound",
        "one/bound"
    )?;
    DEPLOYMENTS
        .iter()
        .try_for_each(|deployment| print_rows(output, deployment))
}

fn print_rows(output: &mut impl Write, deployment: &Deployment) -> io::Result<()> {
    let mut rows: Vec<RolloutRow> = Vec::new();
    rows.resize_with(deployment.pools.len(), RolloutRow::default);
    let mut fleet = RolloutRow::default();
    let mut violations = 0;
    let mut slow = Vec::new();
    for seed in SEEDS {
        let run = |rule| RolloutRun::new(deployment, rule, seed).run(deployment);
        let (planned, single) = (run(StopRule::Planned), run(StopRule::OneAtATime));
        for (index, row) in rows.iter_mut().enumerate() {
            row.add(planned.pools[index], single.pools[index]);
            let name = deployment.pools[index].name;
            slow.extend(describe_slow(name, seed, planned.pools[index]));
        }
        fleet.add(fleet_result(&planned), fleet_result(&single));
        violations += planned.budget_violations;
    }
    for (row, pool) in rows.iter().zip(deployment.pools) {
        row.print(output, &format!("{} {}", deployment.name, pool.name))?;
    }
    fleet.print(output, &format!("{}, all pools", deployment.name))?;
    writeln!(
        output,
        "{}: {violations} planned stops left a pool with less than its budget",
        deployment.name
    )?;
    slow.iter().try_for_each(|line| writeln!(output, "{line}"))
}

/// Returns a line about a pool whose roll-out exceeded [`GOAL_RATIO`].
fn describe_slow(name: &str, seed: u64, pool: PoolResult) -> Option<String> {
    let minutes = |time: Millis| time.0 as f64 / 60_000.0;
    let ratio = minutes(pool.duration) / minutes(pool.lower_bound);
    let last = pool.last.filter(|_| ratio > GOAL_RATIO)?;
    Some(format!(
        "  seed {seed}, {name}: {ratio:.2} x the bound; the last host stopped at {:.1} min and was away for \
         {:.1} min of the {:.1} min",
        minutes(last.start),
        minutes(last.outage),
        minutes(pool.duration)
    ))
}

/// Returns the result of the fleet: the longest times of its pools, which are maintained at the same time.
fn fleet_result(result: &RolloutResult) -> PoolResult {
    let longest = |time: fn(&PoolResult) -> Millis| {
        let times = result.pools.iter().map(time);
        times.max().unwrap_or_default()
    };
    PoolResult {
        random_order: longest(|pool| pool.random_order),
        duration: longest(|pool| pool.duration),
        last: None,
        lower_bound: longest(|pool| pool.lower_bound),
    }
}
