//! Guards against hosts that are requested, or kept free, for work that a quota does not allow to run.

mod fleet;

use {
    fleet::{TestFleet, host, job, step},
    goldcreststall_dispatch::{jobs::StepSpec, owner::OwnerCommand},
};

/// A pool with one host and 40 spare hosts.
fn pool_fleet(cap: u64) -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1"]);
    let spare = (0..40).map(|number| host(&format!("s{number}"), fleet::SPARE, None));
    let first = host("h1", fleet::POOL, Some("r1"));
    fleet.list_hosts(std::iter::once(first).chain(spare).collect());
    fleet.answer_first_holds();
    fleet.set_organisations(2, &[("ink", 1, cap)]);
    fleet
}

/// Returns the number of hosts that the pool requests for a job.
fn requested_hosts(cap: u64, step: StepSpec) -> usize {
    let mut fleet = pool_fleet(cap);
    fleet.submit_for(1, "ink", job(vec![step.clone()]));
    fleet.store();
    for _ in 0..10 {
        fleet.advance(100);
    }
    // Arrivals of an organisation at its quota are no demand either.
    fleet.submit_for(2, "ink", job(vec![step]));
    fleet.store();
    fleet.advance(100);
    let to_pool = |command: &&OwnerCommand| format!("{command:?}").contains("Move");
    fleet.commands.iter().filter(to_pool).count()
}

#[test]
fn waiting_work() {
    let unlimited = requested_hosts(0, step(200, 1_000));
    let limited = requested_hosts(16_000, step(200, 1_000));
    assert!(unlimited >= 30, "{unlimited}");
    assert!(limited <= 8, "{limited} hosts for 16 cores");
}

#[test]
fn long_running_work() {
    let serving = StepSpec {
        long_running: true,
        anti_affinity: 1,
        ..step(30, 4_000)
    };
    let unlimited = requested_hosts(0, serving.clone());
    let limited = requested_hosts(4_000, serving);
    assert!(limited < unlimited, "{limited} of {unlimited}");
}
