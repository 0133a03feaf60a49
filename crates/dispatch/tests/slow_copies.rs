//! Guards against two runs of work that does not allow it, and against copies that take capacity from other work or go on
//! after the first run has ended.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, StepSpec},
        owner::{CallResponse, JobCall, OwnerCommand, StartCommand, StartResponse},
        records::{JobSubmission, StoreRecord},
        runners::{EndKind, HoldResponse},
    },
};

const RUNNERS: [&str; 6] = ["r1", "r2", "r3", "r4", "r5", "r6"];

fn start_for_ink(fleet: &mut TestFleet, id: u64, shape: StepSpec) -> Vec<StartCommand> {
    fleet.submit_for(id, "ink", job(vec![shape]));
    fleet.store();
    fleet.advance(10);
    let starts = fleet.starts();
    fleet.accept_starts(&starts);
    starts
}

/// A step of eight work items, each of half a runner.
fn wide_step(speculative: bool) -> StepSpec {
    StepSpec {
        speculative,
        ..step(8, 2_000)
    }
}

/// A fleet of six runners on which all but the last work item of job 1 have ended after 400 ms, and the last one goes on.
struct SlowFleet {
    fleet: TestFleet,
    slow: StartCommand,
    done: Vec<StartCommand>,
    /// Starts after the first ones.
    later: Vec<StartCommand>,
}

impl SlowFleet {
    fn new(shape: StepSpec) -> Self {
        let (fleet, starts) = TestFleet::with_work(&RUNNERS, vec![shape]);
        Self::after_starts(fleet, starts)
    }

    /// The same with a job of an organisation that has a quota, in thousandths of a core.
    fn with_quota(shape: StepSpec, quota_cpu: u64) -> Self {
        let mut fleet = TestFleet::new(1, &RUNNERS);
        fleet.answer_first_holds();
        fleet.set_organisations(2, &[("ink", 1, quota_cpu)]);
        let starts = start_for_ink(&mut fleet, 1, shape);
        Self::after_starts(fleet, starts)
    }

    fn after_starts(fleet: TestFleet, mut starts: Vec<StartCommand>) -> Self {
        let slow = starts.pop().expect("eight starts");
        let mut slow_fleet = Self {
            fleet,
            slow,
            done: Vec::new(),
            later: Vec::new(),
        };
        slow_fleet.pass_time(400, starts.clone());
        slow_fleet.done = starts;
        slow_fleet.pass_time(100, Vec::new());
        slow_fleet
    }

    /// Lets time pass in which `running`, the slow run and the later ones run.
    fn pass_time(&mut self, millis: u64, running: Vec<StartCommand>) {
        for _ in 0..millis / 50 {
            self.fleet.advance(50);
            let clock = self.fleet.clock();
            let all = running.iter().chain([&self.slow]).chain(&self.later);
            let (all, done) = (all.cloned().collect::<Vec<_>>(), &self.done);
            self.fleet.answer_holds(|runner| {
                let here = |start: &&StartCommand| start.runner == runner;
                let ends = (1..).zip(done.iter().filter(here));
                Some(HoldResponse {
                    running: all.iter().filter(here).map(listed_run).collect(),
                    ended: ends
                        .map(|(number, start)| ended_run(number, start, EndKind::Done))
                        .collect(),
                    ..empty_response(clock)
                })
            });
            self.fleet.store();
            let starts = self.fleet.starts();
            self.fleet.accept_starts(&starts);
            self.later.extend(starts);
        }
    }
}

#[test]
fn first_end_counts() {
    let mut slow_fleet = SlowFleet::new(wide_step(true));
    // Work of another job keeps the pool in use, so that a tenth of it is a copy.
    let others = slow_fleet.fleet.start_work(2, vec![step(20, 1_000)]);
    slow_fleet.pass_time(300, others.clone());
    assert_eq!(slow_fleet.later, [], "not slow yet");
    slow_fleet.pass_time(1_000, others.clone());
    let copy = slow_fleet.later.pop().expect("a copy");
    assert_eq!(slow_fleet.later, [], "one copy only");
    assert_eq!(copy.name, slow_fleet.slow.name);
    assert_ne!(copy.runner, slow_fleet.slow.runner);
    assert!(copy.run > slow_fleet.slow.run);
    slow_fleet.done.push(copy);
    slow_fleet.pass_time(200, others);
    let (slow, fleet) = (slow_fleet.slow, &mut slow_fleet.fleet);
    let is_stop = |command: &OwnerCommand| matches!(command, OwnerCommand::Stop(stop) if (stop.name, stop.run) == (slow.name, slow.run));
    assert!(fleet.commands.iter().any(is_stop), "the slow run goes on");
    let state = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(state, Some(CallResponse::State(JobPhase::Completed)));
}

#[test]
fn never_without_leave() {
    let mut slow_fleet = SlowFleet::new(wide_step(false));
    let others = slow_fleet.fleet.start_work(2, vec![step(20, 1_000)]);
    slow_fleet.pass_time(3_000, others);
    assert_eq!(slow_fleet.later, []);
}

/// A copy may use what other work leaves, and only a share of it.
#[test]
fn other_work_first() {
    for count in [4, 38] {
        let mut slow_fleet = SlowFleet::new(wide_step(true));
        let others = slow_fleet.fleet.start_work(2, vec![step(count, 1_000)]);
        slow_fleet.pass_time(3_000, others);
        assert_eq!(slow_fleet.later, [], "{count} other work items");
    }
}

/// Guards against a copy that brings an organisation above its quota.
#[test]
fn within_quota() {
    for (quota_cpu, copies) in [(16_000, 0), (18_000, 1)] {
        let mut slow_fleet = SlowFleet::with_quota(wide_step(true), quota_cpu);
        let mut others = start_for_ink(&mut slow_fleet.fleet, 2, step(14, 1_000));
        assert_eq!(others.len(), 14);
        others.extend(slow_fleet.fleet.start_work(3, vec![step(6, 1_000)]));
        slow_fleet.pass_time(1_500, others);
        assert_eq!(slow_fleet.later.len(), copies, "quota of {quota_cpu}");
    }
}

/// Guards against a third run while a copy without an answer may still begin.
#[test]
fn copy_without_answer() {
    let mut slow_fleet = SlowFleet::new(wide_step(true));
    let others = slow_fleet.fleet.start_work(2, vec![step(20, 1_000)]);
    slow_fleet.pass_time(300, others);
    let fleet = &mut slow_fleet.fleet;
    let mut starts = Vec::new();
    for _ in 0..6 {
        fleet.advance(100);
        starts.extend(fleet.starts());
    }
    assert_eq!(starts.len(), 1);
    let response = StartResponse::Unknown;
    assert!(fleet.owner.start_answered(&starts[0], response, fleet.now));
    for _ in 0..10 {
        fleet.advance(100);
    }
    let copy = (starts[0].name, starts[0].run);
    let is_stop = |command: &OwnerCommand| matches!(command, OwnerCommand::Stop(stop) if (stop.name, stop.run) == copy);
    assert!(fleet.commands.iter().any(is_stop));
    assert_eq!(fleet.starts(), []);
}

/// Guards against a change of the owner that ends one of two allowed runs, or keeps two runs that are not allowed.
#[test]
fn owner_changes() {
    for speculative in [true, false] {
        let (_, starts) = TestFleet::with_work(&["r1"], vec![wide_step(speculative)]);
        let records = vec![StoreRecord::Submission(
            JobId(1),
            JobSubmission {
                queue: fleet::route(),
                job: fleet::job(vec![wide_step(speculative)]),
                accepted_ms: 0,
                organisation: None,
            },
        )];
        let mut fleet = TestFleet::restored(2, records, 0, &["r1", "r2"]);
        fleet.advance(1);
        let mut response = empty_response(fleet.clock());
        response.running = vec![listed_run(&starts[0])];
        fleet.answer_holds(|_| Some(response.clone()));
        fleet.advance(10);
        let stops = fleet.commands.iter();
        let stops = stops.filter(|command| matches!(command, OwnerCommand::Stop(_)));
        assert_eq!(stops.count(), usize::from(!speculative));
    }
}
