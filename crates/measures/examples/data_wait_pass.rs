//! Prints the time of a pass of placement with 350 runners and 5,000 waiting work items with a data rack.

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepSpec},
        owner::{CallId, JobCall, OwnerCommand, OwnerState, StartResponse},
        records::JobSubmission,
        routes::{FleetRules, RouteRule},
        runners::{Capacity, HoldResponse, RunnerReport, RunnerStatus},
    },
    std::{sync::Arc, time::Instant},
};

const RUNNERS: usize = 350;
const RUNNERS_PER_RACK: usize = 8;
const WAITING: u32 = 5_000;
const PASSES: u32 = 50;

fn submit(owner: &mut OwnerState, id: u64, step: StepSpec, now: LocalTime) {
    let submission = JobSubmission {
        queue: RouteRule {
            name: "proofs".to_owned(),
            service: "press".to_owned(),
            attempts: 3,
            stretch: 1.6,
            ..RouteRule::default()
        },
        job: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
        accepted_ms: 0,
        organisation: None,
    };
    owner.call(
        CallId(id),
        JobCall::Submit(JobId(id), Box::new(submission)),
        now,
    );
    while let Some(batch) = owner.take_batch() {
        owner.batch_stored(batch.id, now);
    }
}

/// Executes the commands; every started run goes on.
fn answer(owner: &mut OwnerState, now: LocalTime) {
    owner.take_events();
    for command in owner.take_commands() {
        match command {
            OwnerCommand::Start(start) => {
                owner.start_answered(&start, StartResponse::Begun(now.0), now);
            }
            OwnerCommand::Hold {
                runner, last_seen, ..
            } if now == LocalTime(100_001) => {
                let response = HoldResponse {
                    clock_ms: now.0,
                    started_ms: Some(1),
                    ..HoldResponse::default()
                };
                owner.hold_answered(runner, now, last_seen, response, now);
            }
            _ => {}
        }
    }
}

/// Prints the mean time of a slow round with its pass, while no runner answers, when the whole pool or only the data rack
/// is full.
fn print_pass(far_percent: u32, is_pool_full: bool) {
    let mut now = LocalTime(100_000);
    let rules = FleetRules {
        version: 1,
        ..FleetRules::default()
    };
    let report = |number: usize| RunnerReport {
        id: format!("r{number}"),
        started_ms: 1,
        service: "press".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".to_owned(),
        labels: vec![
            "kind".to_owned(),
            format!("rack{}", number / RUNNERS_PER_RACK),
        ],
        rack: Some(format!("rack{}", number / RUNNERS_PER_RACK)),
        capacity: Capacity {
            cpu: 64_000,
            mem_mb: 1_000_000,
            gpu: 0,
        },
        status: RunnerStatus::Ready,
    };
    let mut owner = OwnerState::new(1, Arc::new(rules), now);
    owner.set_far_percent(far_percent);
    owner.restore(Vec::new(), now, 0);
    owner.runners_listed((0..RUNNERS).map(report).collect(), now);
    now = now + Millis(1);
    owner.tick(now, 0);
    answer(&mut owner, now);
    let filled = if is_pool_full {
        RUNNERS
    } else {
        RUNNERS_PER_RACK
    };
    let filling = StepSpec {
        count: filled as u32 * 50,
        cpu: 1_270,
        mem_mb: 1,
        estimate_ms: 4_000,
        required_label: (!is_pool_full).then(|| "rack0".to_owned()),
        ..StepSpec::default()
    };
    submit(&mut owner, 1, filling, now);
    for _ in 0..10 {
        now = now + Millis(5);
        owner.tick(now, 0);
        answer(&mut owner, now);
    }
    for id in 2..7 {
        let step = StepSpec {
            count: WAITING / 5,
            cpu: 1_000,
            mem_mb: 1,
            estimate_ms: 4_000,
            data_rack: Some("rack0".to_owned()),
            ..StepSpec::default()
        };
        submit(&mut owner, id, step, now);
    }
    now = now + Millis(5);
    owner.tick(now, 0);
    answer(&mut owner, now);
    let begin = Instant::now();
    for _ in 0..PASSES {
        now = now + Millis(100);
        owner.tick(now, 0);
        owner.take_commands();
    }
    println!(
        "| {far_percent}% | {} | {} | {:.2} |",
        if is_pool_full {
            "whole pool"
        } else {
            "data rack"
        },
        owner.wait_counts().begun,
        begin.elapsed().as_secs_f64() * 1_000.0 / f64::from(PASSES)
    );
}

fn main() {
    println!("| factor | full | waits | ms of a pass |\n|---|---|---|---|");
    for is_pool_full in [true, false] {
        for far_percent in [100, 150, 300] {
            print_pass(far_percent, is_pool_full);
        }
    }
}
