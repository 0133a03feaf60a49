//! Guards against fault plans that differ between runs of one seed: a failure could then not be reproduced from its
//! seed.

use {
    goldcreststall_soak::plan::{Fault, FaultPlan, PlanSize},
    std::time::Duration,
};

const SIZE: PlanSize = PlanSize {
    entries: 5,
    hosts: 18,
    duration: Duration::from_secs(60),
};

#[test]
fn same_seed_same_faults() {
    for seed in 0..20 {
        let first = FaultPlan::draw(seed, SIZE, None);
        assert_eq!(first, FaultPlan::draw(seed, SIZE, None));
        assert_ne!(first, FaultPlan::draw(seed + 1, SIZE, None));
    }
}

#[test]
fn every_kind_comes() {
    let mut names: Vec<&str> = (0..40)
        .flat_map(|seed| FaultPlan::draw(seed, SIZE, None).faults)
        .map(|planned| planned.fault.name())
        .collect();
    names.sort_unstable();
    names.dedup();
    let expected = [
        "burst",
        "configure",
        "crash-host",
        "forget-history",
        "host",
        "kill",
        "kill-many",
        "pause",
        "reload",
        "silence-open",
        "store",
        "terminate",
        "wave",
        "wire-callers",
        "wire-hosts",
        "wire-link",
        "wire-runner",
        "wire-store",
    ];
    assert_eq!(names, expected);
}

#[test]
fn only_some_kinds() {
    let plan = FaultPlan::draw(3, SIZE, Some("store"));
    let is_store = |fault: &Fault| fault.name().contains("store");
    assert!(!plan.faults.is_empty());
    assert!(plan.faults.iter().all(|planned| is_store(&planned.fault)));
}
