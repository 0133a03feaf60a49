//! A zone is cut off just before a timed job is due. Its entry host still owns the fleet for a moment and starts the
//! work item on a runner of its zone, which has been idle since the start and whose clock is 2% slow.

use crate::{
    Stage, Verdict,
    relay::Cut,
    runner::{Reach, RunnerShape, unix_ms},
};
use std::{
    collections::BTreeSet,
    io, thread,
    time::{Duration, Instant},
};

pub const RUNNERS: &[RunnerShape] = &[
    RunnerShape {
        id: "run-1",
        machine: "m-1",
        service: "shop",
        zone: "zone-a",
        rack: "r-a",
        kind: "a",
        clock_percent: 98,
    },
    RunnerShape {
        id: "run-2",
        machine: "m-2",
        service: "shop",
        zone: "zone-b",
        rack: "r-b",
        kind: "a",
        clock_percent: 100,
    },
];

const JOB: &str = "5c0e7a21d94b36f8";
/// Time from the submission to the due time of the job, in which the runners are idle.
const IDLE_MS: u64 = 97_000;
/// The zone is cut off this long before the job is due.
const CUT_BEFORE_MS: u64 = 700;
/// Length of the cut; the longest in the site files is 6.5 s.
const CUT_TIME: Duration = Duration::from_millis(6_400);
/// Time that is watched after the cut.
const AFTER_TIME: Duration = Duration::from_millis(3_500);

pub fn play(mut stage: Stage) -> io::Result<Verdict> {
    let cut = Cut::default();
    let none = Cut::default();
    stage.publish();
    stage.nodes.push(stage.platform.start_node("front-a", "zone-a", &cut)?);
    if !stage.wait_ready(Duration::from_secs(6)) {
        return Ok(Verdict::NotRun);
    }
    for (name, zone) in [("front-b", "zone-b"), ("front-c", "zone-c")] {
        stage.nodes.push(stage.platform.start_node(name, zone, &none)?);
    }
    if !stage.wait_ready(Duration::from_secs(6)) {
        return Ok(Verdict::NotRun);
    }
    let due = unix_ms() + IDLE_MS;
    let body = format!(
        "{{\"Spec\":\"work=8000\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":256,\"EstimateMs\":8000}}],\"StartAtMs\":{due},\"IntervalMs\":600000,\"Times\":1}}"
    );
    if !stage.submit(0, JOB, &body) {
        return Ok(Verdict::NotRun);
    }
    while unix_ms() + CUT_BEFORE_MS < due {
        thread::sleep(Duration::from_millis(5));
    }
    let token = stage.platform.runners[0].token();
    if token == 0 {
        stage.write("no owner has called the runner; the case cannot run");
        return Ok(Verdict::NotRun);
    }
    let [near, far] = &stage.platform.runners[..] else {
        return Ok(Verdict::NotRun);
    };
    if stage.has_trouble {
        cut.set(true);
        near.set_reach(Reach::Token(token));
        far.set_reach(Reach::NotToken(token));
        stage.write(&format!("zone-a is cut off; the owner in it has fence {token}"));
    }
    let is_twice = watch(&stage, CUT_TIME);
    cut.set(false);
    near.set_reach(Reach::Everyone);
    far.set_reach(Reach::Everyone);
    stage.write("the cut has ended");
    let is_twice = watch(&stage, AFTER_TIME) || is_twice;
    let (_, state) = stage.call(1, "GET", &format!("/jobs/{JOB}"), "");
    if stage.nodes.iter_mut().any(|node| node.has_ended()) {
        stage.write("an entry host has ended by itself");
        return Ok(Verdict::NotRun);
    }
    if !stage.has_trouble && !state.contains("completed") {
        stage.write("the job is not completed without the disruption");
        return Ok(Verdict::NotRun);
    }
    Ok(if is_twice { Verdict::Broken } else { Verdict::Held })
}

/// Watches the runners; returns whether a work item ran on two of them at the same time.
fn watch(stage: &Stage, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut seen = BTreeSet::new();
    while Instant::now() < until {
        let [near, far] = &stage.platform.runners[..] else {
            return false;
        };
        let on_both: Vec<String> = near.running();
        for task in far.running() {
            if on_both.contains(&task) && seen.insert(task.clone()) {
                stage.write(&format!("TWICE: {task} runs on {} and on {}", near.id, far.id));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    !seen.is_empty()
}
