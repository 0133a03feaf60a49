//! Measures one placement pass over 5,000 waiting work items on 350 runners, with 0, 20 and 10,000 organisations.
//!
//! `cargo run --release -p goldcreststall-dispatch --example placement_pass`

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepSpec},
        organisations::{OrganisationRule, ResourceCap},
        owner::{CallId, JobCall, OwnerCommand, OwnerState, StartCommand, StartResponse},
        records::JobSubmission,
        routes::{FleetRules, RouteRule, ServiceRule},
        runners::{Capacity, HoldResponse, ListedRun, RunnerKey, RunnerReport, RunnerStatus},
    },
    std::{sync::Arc, time::Instant},
};

const SERVICES: [&str; 4] = ["bind", "cut", "fold", "press"];
const RUNNERS: usize = 350;
const WORK_ITEMS: usize = 5_000;
const PASSES: usize = 200;
/// Longer than the time between two rounds of the less urgent decisions.
const ROUND: Millis = Millis(150);
const WALL_MS: u64 = 1_800_000_000_000;

fn service_rule(name: &str) -> ServiceRule {
    ServiceRule {
        name: name.to_owned(),
        spare: false,
    }
}

fn rules(organisations: usize) -> Arc<FleetRules> {
    let rule = |number| OrganisationRule {
        name: format!("organisation-{number:05}"),
        // High enough that no job is above the rate of its organisation.
        weight: 1_000 * (1 + number as u64 % 20),
        cap: ResourceCap {
            cpu: 4_000_000,
            ..ResourceCap::default()
        },
    };
    Arc::new(FleetRules {
        version: 1,
        services: SERVICES.map(service_rule).to_vec(),
        organisations: (organisations > 0).then(|| (0..organisations).map(rule).collect()),
        ..FleetRules::default()
    })
}

fn runner(number: usize) -> RunnerReport {
    RunnerReport {
        id: format!("runner-{number}"),
        started_ms: 1,
        service: SERVICES[number % SERVICES.len()].to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".to_owned(),
        labels: Vec::new(),
        rack: None,
        capacity: Capacity {
            cpu: 64_500,
            mem_mb: 256_000,
            gpu: 0,
        },
        status: RunnerStatus::Ready,
    }
}

/// An owner whose runners are listed and have answered.
fn owner(organisations: usize, now: &mut LocalTime) -> OwnerState {
    let mut owner = OwnerState::new(1, rules(organisations), *now);
    owner.restore(Vec::new(), *now, WALL_MS);
    owner.runners_listed((0..RUNNERS).map(runner).collect(), *now);
    *now = *now + Millis(1);
    owner.tick(*now, WALL_MS);
    answer_holds(&mut owner, &[], *now);
    owner
}

/// Answers the hold calls of all runners, which list the runs in `starts`.
fn answer_holds(owner: &mut OwnerState, starts: &[StartCommand], now: LocalTime) {
    for command in owner.take_commands() {
        if let OwnerCommand::Hold { runner, .. } = command {
            answer_hold(owner, runner, starts, now);
        }
    }
}

fn answer_hold(owner: &mut OwnerState, runner: RunnerKey, starts: &[StartCommand], now: LocalTime) {
    let listed_run = |start: &StartCommand| ListedRun {
        name: start.name,
        run: start.run,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    };
    let here = starts.iter().filter(|start| start.runner == runner);
    let response = HoldResponse {
        clock_ms: now.0,
        running: here.map(listed_run).collect(),
        ..HoldResponse::default()
    };
    owner.hold_answered(runner, now, 0, response, now);
}

/// Submits jobs with `count` work items each until there are 5,000.
fn submit_jobs(owner: &mut OwnerState, count: usize, organisations: usize, now: LocalTime) {
    for number in 0..WORK_ITEMS / count {
        let service = SERVICES[number % SERVICES.len()];
        let step = StepSpec {
            count: count as u32,
            // No runner has more than half a core left once the fleet is filled.
            cpu: 1_000 + 100 * (number as u32 % 8),
            mem_mb: 100,
            // The waiting work can be in time during the whole measurement.
            estimate_ms: 1_000_000 + number as u32 * 7_919 % 100_000,
            ..StepSpec::default()
        };
        let submission = Box::new(JobSubmission {
            queue: RouteRule {
                name: service.to_owned(),
                service: service.to_owned(),
                attempts: 3,
                stretch: 2.0,
                target_latency: Millis(100_000),
                ..RouteRule::default()
            },
            job: JobSpec {
                steps: vec![step],
                ..JobSpec::default()
            },
            accepted_ms: WALL_MS,
            organisation: None,
        });
        let id = JobId(now.0 * 1_000_000 + number as u64);
        let call = if organisations > 0 {
            let organisation = number * 7 % organisations;
            JobCall::SubmitFor(id, submission, format!("organisation-{organisation:05}"))
        } else {
            JobCall::Submit(id, submission)
        };
        owner.call(CallId(number as u64), call, now);
    }
    while let Some(batch) = owner.take_batch() {
        owner.batch_stored(batch.id, now);
    }
}

/// Starts long-running work that takes all but half a core of each runner.
fn fill_runners(owner: &mut OwnerState, now: LocalTime) -> Vec<StartCommand> {
    for (number, service) in SERVICES.iter().enumerate() {
        let step = StepSpec {
            count: (RUNNERS / SERVICES.len() + usize::from(number < RUNNERS % SERVICES.len()))
                as u32,
            cpu: 64_000,
            mem_mb: 100,
            estimate_ms: 1_000,
            long_running: true,
            ..StepSpec::default()
        };
        let submission = Box::new(JobSubmission {
            queue: RouteRule {
                service: (*service).to_owned(),
                ..RouteRule::default()
            },
            job: JobSpec {
                steps: vec![step],
                ..JobSpec::default()
            },
            accepted_ms: WALL_MS,
            organisation: None,
        });
        let call = JobCall::Submit(JobId(number as u64 + 1), submission);
        owner.call(CallId(0), call, now);
    }
    while let Some(batch) = owner.take_batch() {
        owner.batch_stored(batch.id, now);
    }
    owner.tick(now + ROUND, WALL_MS);
    let mut starts = Vec::new();
    for command in owner.take_commands() {
        if let OwnerCommand::Start(start) = command {
            let response = StartResponse::Begun(now.0);
            owner.start_answered(&start, response, now + ROUND);
            starts.push(start);
        }
    }
    assert_eq!(starts.len(), RUNNERS);
    starts
}

/// Returns the median time, in microseconds, of passes that start nothing because the fleet is full.
fn waiting_pass(count: usize, organisations: usize) -> u128 {
    let mut now = LocalTime(1_000_000);
    let mut owner = owner(organisations, &mut now);
    let running = fill_runners(&mut owner, now);
    now = now + ROUND;
    submit_jobs(&mut owner, count, organisations, now);
    let mut times: Vec<u128> = Vec::new();
    for _ in 0..PASSES {
        now = now + ROUND;
        owner.tick(now, WALL_MS);
        answer_holds(&mut owner, &running, now);
        // The response makes a pass due; with few jobs it comes without a round of the other decisions.
        answer_hold(&mut owner, RunnerKey(0), &running, now);
        now = now + Millis(if count > 1 { 40 } else { 110 });
        let began = Instant::now();
        owner.tick(now, WALL_MS);
        times.push(began.elapsed().as_micros());
        let commands = owner.take_commands();
        let is_start = |command: &OwnerCommand| matches!(command, OwnerCommand::Start(_));
        assert!(!commands.iter().any(is_start));
        owner.take_events();
        for command in commands {
            if let OwnerCommand::Hold { runner, .. } = command {
                answer_hold(&mut owner, runner, &running, now);
            }
        }
    }
    times.sort_unstable();
    times[times.len() / 2]
}

/// Returns the median time, in microseconds, of a pass that starts all 5,000 work items on an empty fleet.
fn starting_pass(organisations: usize) -> u128 {
    let run = |_| {
        let mut now = LocalTime(1_000_000);
        let mut owner = owner(organisations, &mut now);
        submit_jobs(&mut owner, 5, organisations, now);
        now = now + ROUND;
        let began = Instant::now();
        owner.tick(now, WALL_MS);
        let elapsed = began.elapsed().as_micros();
        let commands = owner.take_commands();
        let is_start = |command: &&OwnerCommand| matches!(command, OwnerCommand::Start(_));
        assert_eq!(commands.iter().filter(is_start).count(), WORK_ITEMS);
        elapsed
    };
    let mut times: Vec<u128> = (0..9).map(run).collect();
    times.sort_unstable();
    times[times.len() / 2]
}

fn main() {
    println!("organisations  pass_us  pass_and_round_us  starting_us");
    for organisations in [0, 20, 10_000] {
        let pass = waiting_pass(5, organisations);
        let with_round = waiting_pass(1, organisations);
        let starting = starting_pass(organisations);
        println!("{organisations:13}  {pass:7}  {with_round:17}  {starting:11}");
    }
}
