//! Applies many random log entries, checks the properties of the state after each and prints one line.
//!
//! Usage: `fold_walk [SEED [STEPS]]`. The default is seed 1 and 1,000,000 steps.

#[path = "../tests/fleet_model/mod.rs"]
mod fleet_model;

use {
    fleet_model::{FleetWalk, Step},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{env, process::ExitCode},
};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_STEPS: u64 = 1_000_000;
/// Steps per fleet. A new fleet starts after them, which bounds the memory of the log.
const STEPS_PER_FLEET: u64 = 2_000;

#[derive(Default)]
struct WalkTotals {
    accepted: u64,
    fleets: u64,
    ignored: u64,
    steps: u64,
}

fn main() -> ExitCode {
    let arguments: Vec<Option<u64>> = env::args().skip(1).map(|text| text.parse().ok()).collect();
    let (seed, steps) = match arguments.as_slice() {
        [] => (DEFAULT_SEED, DEFAULT_STEPS),
        [Some(seed)] => (*seed, DEFAULT_STEPS),
        [Some(seed), Some(steps)] => (*seed, *steps),
        _ => {
            eprintln!("usage: fold_walk [SEED [STEPS]]");
            return ExitCode::FAILURE;
        }
    };
    let mut totals = WalkTotals::default();
    match walk(seed, steps, &mut totals) {
        Ok(()) => {
            println!(
                "fold_walk: seed {seed}, {} steps, {} fleets, {} records accepted, {} ignored, all properties hold",
                totals.steps, totals.fleets, totals.accepted, totals.ignored
            );
            ExitCode::SUCCESS
        }
        Err(violation) => {
            println!("fold_walk: seed {seed}, step {}: {violation}", totals.steps);
            ExitCode::FAILURE
        }
    }
}

fn walk(seed: u64, steps: u64, totals: &mut WalkTotals) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    while totals.steps < steps {
        let mut fleet = FleetWalk::new();
        for _ in 0..STEPS_PER_FLEET.min(steps - totals.steps) {
            fleet.step(Step {
                author: random.random(),
                extra: random.random(),
                kind: random.random(),
                pick: random.random(),
            })?;
            totals.steps += 1;
        }
        fleet.check_replay()?;
        fleet.check_trail()?;
        totals.accepted += fleet.accepted;
        totals.ignored += fleet.ignored;
        totals.fleets += 1;
    }
    Ok(())
}
