//! Guards against a job with odd numbers that stops the owner, passes for a small one, or starts when it is not due.

mod fleet;

use {
    fleet::{TestFleet, host, job, route, rules, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, SpecError, StepSpec},
        owner::{CallResponse, JobCall, OwnerCommand, OwnerState},
        pools::{PoolStats, plan_pools},
        records::{JobSubmission, StoreRecord},
        routes::RouteRule,
    },
};

const ESTIMATE_MS: u64 = 1_000;

fn after(steps: impl IntoIterator<Item = u32>) -> StepSpec {
    StepSpec {
        after: steps.into_iter().collect(),
        ..step(1, 1_000)
    }
}

fn submission(queue: RouteRule, job: JobSpec) -> JobSubmission {
    JobSubmission {
        queue,
        job,
        accepted_ms: 0,
        organisation: None,
    }
}

fn fleet() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.answer_first_holds();
    fleet
}

/// Shows that the owner still accepts and places work.
fn assert_serves(fleet: &mut TestFleet) {
    fleet.advance(200);
    assert_eq!(fleet.submit_work(99, vec![step(1, 1_000)]).len(), 1);
}

/// Guards against a size that wraps to 0: 2^33 work items, 2^31 times.
#[test]
fn wrapped_size() {
    let spec = JobSpec {
        times: 1 << 31,
        ..job(vec![step(u32::MAX, 1), step(u32::MAX, 1), step(2, 1)])
    };
    assert_eq!(spec.check(), Err(SpecError::Size));
}

/// Guards against an effort that doubles with each step: here there are 2^59 paths.
#[test]
fn many_paths() {
    let mut fleet = fleet();
    fleet.submit(7, job((0..60).map(|number| after(0..number)).collect()));
    fleet.store();
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 1);
    assert_serves(&mut fleet);
}

/// Guards against a stack overflow in a chain of as many steps as a job can have.
#[test]
fn long_chain() {
    let chain = |number: u32| after(number.checked_sub(1));
    let spec = job((0..20_000).map(chain).collect());
    assert_eq!(spec.check(), Ok(()));
    assert_eq!(spec.critical_path(), 20_000 * ESTIMATE_MS);
    let mut fleet = fleet();
    fleet.submit(7, spec);
    fleet.store();
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 1);
}

/// Guards against occurrences whose time wraps, so that they are due at once.
#[test]
fn late_occurrence() {
    for (start_at_ms, interval_ms) in [(u64::MAX, u64::MAX), (u64::MAX - 5, 7), (1, u64::MAX)] {
        let mut fleet = fleet();
        let spec = JobSpec {
            start_at_ms,
            interval_ms,
            times: 3,
            ..job(vec![step(1, 1_000)])
        };
        fleet.submit(7, spec);
        fleet.store();
        fleet.advance(10);
        assert!(fleet.starts().is_empty(), "{start_at_ms} {interval_ms}");
        assert_serves(&mut fleet);
    }
}

/// Guards against sums of work that overflow.
#[test]
fn largest_work() {
    let mut fleet = fleet();
    let largest = StepSpec {
        cpu: u32::MAX,
        mem_mb: u32::MAX,
        gpu: u32::MAX,
        estimate_ms: u32::MAX,
        ..step(3, 1)
    };
    for id in [7, 8] {
        let call = JobCall::Submit(
            JobId(id),
            Box::new(submission(route(), job(vec![largest.clone()]))),
        );
        fleet.call(id, call);
        fleet.store();
        assert_eq!(fleet.reply(id), Some(CallResponse::Accepted));
        fleet.advance(10);
    }
    assert!(fleet.starts().is_empty());
}

/// Guards against a latency objective that overflows.
#[test]
fn largest_objective() {
    for stretch in [f64::INFINITY, f64::MAX, f64::NAN, -1.0] {
        let mut fleet = fleet();
        let queue = RouteRule {
            stretch,
            target_latency: Millis(u64::MAX),
            ..route()
        };
        let submission = submission(queue, job(vec![step(1, 1_000)]));
        fleet.call(7, JobCall::Submit(JobId(7), Box::new(submission)));
        fleet.store();
        fleet.advance(200);
        assert_eq!(fleet.starts().len(), 1, "{stretch}");
        assert_serves(&mut fleet);
    }
}

/// Guards against pool sizes that overflow with the demand.
#[test]
fn largest_demand() {
    let pool = |name: &str| PoolStats {
        name: name.to_owned(),
        hosts: 5,
        demand_cpu: u64::MAX,
        late_cpu: u64::MAX,
        ..PoolStats::default()
    };
    let plan = plan_pools(&[pool("a"), pool("b")]);
    assert_eq!(plan.targets, [5, 5]);
}

/// Guards against a description from another process that the owner did not check: a dependency on a step that does not
/// exist would stop it.
#[test]
fn unchecked_description() {
    let odd = || submission(route(), job(vec![after([9])]));
    let mut fleet = fleet();
    let response = fleet.call(7, JobCall::Submit(JobId(7), Box::new(odd())));
    assert_eq!(response, Some(CallResponse::Unavailable));
    assert_serves(&mut fleet);

    let mut restored = TestFleet::new(1, &["r1"]);
    let records = vec![
        StoreRecord::Submission(JobId(7), odd()),
        StoreRecord::Submission(JobId(8), submission(route(), job(vec![step(1, 1_000)]))),
    ];
    restored.owner = OwnerState::new(1, rules(), restored.now);
    restored.owner.restore(records, restored.now, 0);
    restored.list_runners();
    restored.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    restored.answer_first_holds();
    restored.advance(200);
    let starts = restored.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].name.job, JobId(8));
}

/// Guards against a job that no host can run, and whose work counts all the same: all other jobs of the queue would be
/// refused, and their pool would get the hosts of the others.
#[test]
fn unplaceable_work() {
    let mut fleet = fleet();
    let hosts = ["h1", "h2", "h3", "h4", "h5", "h6"];
    fleet.list_hosts(
        hosts
            .iter()
            .map(|name| host(name, "bindery", None))
            .collect(),
    );
    fleet.submit(7, job(vec![step(2, u32::MAX)]));
    fleet.store();
    fleet.advance(200);
    assert_serves(&mut fleet);
    let moves = |command: &OwnerCommand| matches!(command, OwnerCommand::MoveHost { .. });
    assert!(!fleet.commands.iter().any(moves));
}

/// Guards against an effort that grows with the square of the work items of a step that are limited for each runner: the
/// owner must decide within its lease.
#[test]
fn spread_step() {
    let ids: Vec<String> = (0..50).map(|number| format!("r{number:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut fleet = TestFleet::new(1, &ids);
    fleet.answer_first_holds();
    let spread = StepSpec {
        anti_affinity: 1,
        ..step(20_000, 10)
    };
    fleet.submit(7, job(vec![spread]));
    fleet.store();
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 50);
    fleet.advance(500);
    assert!(fleet.starts().is_empty());
}
