//! Guards against keys of ended or removed jobs that are followed in lists which outlive a round of decisions.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty_response, host, job, listed_run, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobSpec, StepSpec},
        owner::{JobCall, OwnerCommand, WaveRequest},
        runners::{ListedRun, RunnerReport},
    },
};

/// Number of waiting jobs with which passes of placement are more than a round of decisions apart.
const WAITING_JOBS: u64 = 6_000;

fn lasting(mem_mb: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        mem_mb,
        ..step(1, 100)
    }
}

fn wave(hosts: &[&str]) -> WaveRequest {
    WaveRequest {
        number: 1,
        hosts: hosts.iter().map(|host| (*host).to_owned()).collect(),
        duration: Millis(60_000),
        cap: 1,
    }
}

/// Guards against a panic of the owner when a step that found no runner is looked up after its job has ended and its work
/// items were removed from memory, before the next pass of placement.
#[test]
fn cancelled_before_pass() {
    let (mut fleet, _) = TestFleet::with_work(&["r1"], vec![lasting(100)]);
    fleet.list_hosts(vec![host("h1", POOL, Some("r1"))]);
    fleet.owner.wave_requested(wave(&["h1"]), fleet.now);
    for id in 2..WAITING_JOBS {
        let scheduled = JobSpec {
            times: 1,
            start_at_ms: u64::MAX,
            ..job(vec![step(1, 100)])
        };
        fleet.submit(id, scheduled);
    }
    fleet.store();
    let unplaceable = StepSpec {
        required_label: Some("missing".to_owned()),
        ..lasting(100)
    };
    for round in 0..60 {
        let id = WAITING_JOBS + round;
        fleet.submit(id, job(vec![unplaceable.clone()]));
        fleet.store();
        fleet.advance(60);
        fleet.call(1_000_000 + round, JobCall::Cancel(JobId(id)));
        fleet.store();
        fleet.advance(60);
    }
}

/// Guards against a host that moves to a pool for work that was cancelled since the last pass of placement.
#[test]
fn no_host_for_cancelled_work() {
    let mut fleet = TestFleet::new(1, &["p1", "p2", "p3", "p4"]);
    let others = (1..=6).map(|number| RunnerReport {
        service: "bindery".to_owned(),
        ..fleet::runner(&format!("b{number}"))
    });
    fleet.runners.extend(others);
    fleet.list_runners();
    fleet.answer_first_holds();
    let hosts = fleet.runners.iter().map(|report| {
        let name = format!("host-{}", report.id);
        host(&name, &report.service, Some(&report.id))
    });
    let hosts = hosts.collect();
    fleet.list_hosts(hosts);
    for id in 1..=4 {
        assert_eq!(fleet.start_work(id, vec![lasting(15_000)]).len(), 1);
    }
    assert_eq!(fleet.submit_work(5, vec![lasting(15_000)]), []);
    fleet.call(9, JobCall::Cancel(JobId(5)));
    fleet.store();
    fleet.advance(100);
    let moves = |command: &&OwnerCommand| matches!(command, OwnerCommand::MoveHost { .. });
    assert_eq!(fleet.commands.iter().filter(moves).count(), 0);
}

/// Guards against capacity of a runner that stays in use by a job that was removed because the store does not respond: a
/// wave would wait for the end of its work for ever.
#[test]
fn run_of_refused_job() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.list_hosts(vec![host("h1", POOL, Some("r1"))]);
    fleet.answer_first_holds();
    // The runner lists a run of an earlier job with the same id, which was forgotten.
    let earlier = ListedRun {
        name: ItemName {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 3,
        checkpoint: String::new(),
        percent: 50,
        load: 0,
    };
    let running = fleet.start_work(6, vec![step(1, 100)]).remove(0);
    fleet.submit(7, job(vec![step(1, 8_000)]));
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    response.running = vec![earlier, listed_run(&running)];
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.owner.refuse_unsent();
    for _ in 0..5 {
        fleet.advance(100);
        let mut response = empty_response(fleet.clock());
        response.running = vec![listed_run(&running)];
        fleet.answer_holds(|_| Some(response.clone()));
    }
    let starts = fleet.submit_work(8, vec![step(1, 7_000)]);
    assert_eq!(starts.len(), 1, "the runner has free capacity");
}
