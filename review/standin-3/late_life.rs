//! A zone is cut off, and one of its runners crashes and starts again under its id. The entry host in the zone still owns
//! the fleet for a moment, and its calls carry deadlines on the clock of the runner's former life.
//!
//! With `CRASH=0` in the environment the zone is cut off and no runner crashes.

use crate::{
    Stage, Verdict,
    relay::Cut,
    runner::{Reach, RunnerShape, unix_ms},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    env, io, thread,
    time::{Duration, Instant},
};

pub const RUNNERS: &[RunnerShape] = &[
    shape("run-1", "m-1", "zone-a", "r-a"),
    shape("run-2", "m-2", "zone-a", "r-a"),
    shape("run-3", "m-3", "zone-a", "r-a"),
    shape("run-4", "m-4", "zone-b", "r-b"),
    shape("run-5", "m-5", "zone-b", "r-b"),
    shape("run-6", "m-6", "zone-b", "r-b"),
    shape("run-7", "m-7", "zone-c", "r-c"),
    shape("run-8", "m-8", "zone-c", "r-c"),
    shape("run-9", "m-9", "zone-c", "r-c"),
];

const fn shape(
    id: &'static str,
    machine: &'static str,
    zone: &'static str,
    rack: &'static str,
) -> RunnerShape {
    RunnerShape { id, machine, service: "shop", zone, rack, kind: "a", clock_percent: 100 }
}

const JOB: &str = "5c0e7a21d94b36f8";
/// Time from the submission to the due time of the job's first occurrence.
const IDLE_MS: u64 = 20_000;
/// The job runs this many times, one after the other at this distance.
const TIMES: u64 = 12;
const INTERVAL_MS: u64 = 250;
/// The zone is cut off this long after the first occurrence is due.
const CUT_AFTER_MS: u64 = 1_600;
/// How long the runner is down, right after the cut began.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Length of the cut; the longest in the site file is 6.5 s.
const CUT_TIME: Duration = Duration::from_millis(6_400);
/// Time that is watched after the cut.
const AFTER_TIME: Duration = Duration::from_millis(6_500);

pub fn play(mut stage: Stage) -> io::Result<Verdict> {
    let cut = Cut::default();
    let none = Cut::default();
    stage.publish();
    stage.nodes.push(stage.platform.start_node("front-a", "zone-a", &cut)?);
    if !stage.wait_ready(Duration::from_secs(12)) {
        return Ok(Verdict::NotRun);
    }
    for (name, zone) in [("front-b", "zone-b"), ("front-c", "zone-c")] {
        stage.nodes.push(stage.platform.start_node(name, zone, &none)?);
    }
    if !stage.wait_ready(Duration::from_secs(12)) {
        return Ok(Verdict::NotRun);
    }
    let due = unix_ms() + IDLE_MS;
    let body = format!(
        "{{\"Spec\":\"work=8000\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":256,\"EstimateMs\":8000}}],\"StartAtMs\":{due},\"IntervalMs\":{INTERVAL_MS},\"Times\":{TIMES}}}"
    );
    if !stage.submit(0, JOB, &body) {
        return Ok(Verdict::NotRun);
    }
    while unix_ms() < due + CUT_AFTER_MS {
        thread::sleep(Duration::from_millis(5));
    }
    let runners = &stage.platform.runners;
    // The runner that has most to do; the owner gives it the next work items too.
    let Some(busy) = runners.iter().max_by_key(|runner| runner.running().len()) else {
        return Ok(Verdict::NotRun);
    };
    if busy.zone != "zone-a" || busy.running().is_empty() {
        stage.write("the owner has placed the work outside its zone; the case cannot run");
        return Ok(Verdict::NotRun);
    }
    let token = busy.token();
    if stage.has_trouble {
        cut.set(true);
        for runner in runners {
            let is_cut = runner.zone == "zone-a";
            runner.set_reach(if is_cut { Reach::Token(token) } else { Reach::NotToken(token) });
        }
        stage.write(&format!("zone-a is cut off; the owner in it has fence {token}"));
        if env::var("CRASH").as_deref() != Ok("0") {
            busy.crash();
            stage.write(&format!("runner {} crashes", busy.id));
            thread::sleep(DOWN_TIME);
            busy.restart(Reach::Token(token));
            stage.write(&format!("runner {} is back under its id", busy.id));
        }
    }
    let mut twice = BTreeSet::new();
    watch(&stage, CUT_TIME, &mut twice);
    cut.set(false);
    stage.platform.runners.iter().for_each(|runner| runner.set_reach(Reach::Everyone));
    stage.write("the cut has ended");
    watch(&stage, AFTER_TIME, &mut twice);
    let (_, state) = stage.call(1, "GET", &format!("/jobs/{JOB}"), "");
    if stage.nodes.iter_mut().any(|node| node.has_ended()) {
        stage.write("an entry host has ended by itself");
        return Ok(Verdict::NotRun);
    }
    if !stage.has_trouble && !state.contains("completed") {
        stage.write("the job is not completed without the disruption");
        return Ok(Verdict::NotRun);
    }
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Watches the runners; adds the work items that run on two of them at the same time.
fn watch(stage: &Stage, time: Duration, twice: &mut BTreeSet<String>) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let mut places: BTreeMap<String, &str> = BTreeMap::new();
        for runner in &stage.platform.runners {
            for task in runner.running() {
                let Some(other) = places.insert(task.clone(), &runner.id) else {
                    continue;
                };
                if twice.insert(task.clone()) {
                    stage.write(&format!("TWICE: {task} runs on {other} and on {}", runner.id));
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}
