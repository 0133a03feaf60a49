//! A runner turns slow for some seconds while it runs a long work item that no other runner may run.

use crate::{Stage, Verdict, relay::Cut, runner::RunnerShape};
use std::{
    env, io, thread,
    time::{Duration, Instant},
};

pub const RUNNERS: &[RunnerShape] = &[
    shape("run-1", "m-1", "zone-a", "b"),
    shape("run-2", "m-2", "zone-b", "a"),
    shape("run-3", "m-3", "zone-c", "a"),
    shape("run-4", "m-4", "zone-a", "a"),
    shape("run-5", "m-5", "zone-b", "a"),
    shape("run-6", "m-6", "zone-c", "a"),
];

const fn shape(
    id: &'static str,
    machine: &'static str,
    zone: &'static str,
    kind: &'static str,
) -> RunnerShape {
    RunnerShape { id, machine, service: "shop", zone, rack: "r-1", kind, clock_percent: 100 }
}

const JOB: &str = "5c0e7a21d94b36f8";
const WORK_MS: u64 = 90_000;
/// Time from the end of the traffic from which the rule is checked: `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);
/// How long the runner is slow, and how much; the site file has 7.0 s and 6.5 times for a share of 0.17.
const SLOW_TIME: Duration = Duration::from_millis(7_000);
const SLOWNESS: u64 = 6;
/// Time that is watched after that.
const AFTER_TIME: Duration = Duration::from_secs(12);
/// A job may have nothing running for less than this time.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub fn play(mut stage: Stage) -> io::Result<Verdict> {
    let none = Cut::default();
    stage.publish();
    for (name, zone) in [("front-a", "zone-a"), ("front-b", "zone-b"), ("front-c", "zone-c")] {
        stage.nodes.push(stage.platform.start_node(name, zone, &none)?);
    }
    if !stage.wait_ready(Duration::from_secs(8)) {
        return Ok(Verdict::NotRun);
    }
    let work_ms = env::var("WORK_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(WORK_MS);
    let body = format!(
        "{{\"Spec\":\"work={work_ms}\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":256,\"EstimateMs\":{work_ms},\"RequiredLabel\":\"b\"}}]}}"
    );
    if !stage.submit(0, JOB, &body) {
        return Ok(Verdict::NotRun);
    }
    stage.write("the traffic has ended");
    thread::sleep(FINISH_TIME);
    let longest = watch(&stage);
    stage.call(1, "GET", &format!("/jobs/{JOB}"), "");
    if !stage.platform.record.has_begun(JOB) {
        return Ok(Verdict::NotRun);
    }
    Ok(if longest >= IDLE_LIMIT { Verdict::Broken } else { Verdict::Held })
}

/// Plays the disruption and watches the job; returns the longest time in which nothing of it ran.
fn watch(stage: &Stage) -> Duration {
    let slow = &stage.platform.runners[0];
    if stage.has_trouble {
        slow.set_slowness(SLOWNESS);
        stage.write(&format!("runner {} turns slow, {SLOWNESS} times", slow.id));
    }
    let started = Instant::now();
    let mut is_slow = stage.has_trouble;
    let mut longest = Duration::ZERO;
    let mut idle_since: Option<Instant> = None;
    while started.elapsed() < SLOW_TIME + AFTER_TIME {
        if is_slow && started.elapsed() >= SLOW_TIME {
            is_slow = false;
            slow.set_slowness(1);
            stage.write(&format!("runner {} is as fast as before", slow.id));
        }
        if stage.platform.runners.iter().any(|runner| !runner.running().is_empty()) {
            idle_since = None;
        } else {
            let idle = idle_since.get_or_insert_with(Instant::now).elapsed();
            if idle >= IDLE_LIMIT && longest < IDLE_LIMIT {
                stage.write("LOST: the job has had nothing running for 3 s");
            }
            longest = longest.max(idle);
        }
        thread::sleep(Duration::from_millis(5));
    }
    longest
}
