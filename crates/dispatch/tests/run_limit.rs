//! Guards against work that demands nothing, of which any number would run on one runner.

mod fleet;

use {
    fleet::{TestFleet, step},
    goldcreststall_dispatch::jobs::StepSpec,
};

/// Most runs on one runner.
const MAX_RUNS: usize = 2_000;

fn step_without_demand(count: u32) -> StepSpec {
    StepSpec {
        mem_mb: 0,
        estimate_ms: 1,
        ..step(count, 0)
    }
}

/// Guards against lists of a runner that are too long to be read.
#[test]
fn single_items() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step_without_demand(5_000)]);
    assert_eq!(starts.len(), MAX_RUNS);
    fleet.advance(10);
    assert!(fleet.starts().is_empty());
}

/// Guards against a gang whose members are counted one by one only: all of them start in one pass.
#[test]
fn gang_members() {
    let gang = StepSpec {
        gang: true,
        ..step_without_demand(3_000)
    };
    let (_, starts) = TestFleet::with_work(&["r1"], vec![gang.clone()]);
    assert!(starts.is_empty());
    let (_, starts) = TestFleet::with_work(&["r1", "r2"], vec![gang]);
    assert_eq!(starts.len(), 3_000);
}
