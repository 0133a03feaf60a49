//! All workers of a rack crash and stay silent; jobs arrive, and their queue's count of waiting jobs is asked for.

use crate::{Stage, Verdict, relay::Cut, runner::RunnerShape};
use std::{
    io, thread,
    time::{Duration, Instant},
};

pub const RUNNERS: &[RunnerShape] = &[
    shape("run-1", "m-1", "zone-a"),
    shape("run-2", "m-2", "zone-b"),
    shape("run-3", "m-3", "zone-c"),
    shape("run-4", "m-4", "zone-a"),
];

const fn shape(id: &'static str, machine: &'static str, zone: &'static str) -> RunnerShape {
    RunnerShape { id, machine, service: "shop", zone, rack: "r-1", kind: "a", clock_percent: 100 }
}

const JOBS: usize = 12;
/// How long the rack is dark; the longest dark rack in the site file is 7.4 s.
const DARK_TIME: Duration = Duration::from_millis(7_400);
/// Age of a job from which the count has to contain it: `visible_ms` + 2 s.
const COUNTED_AGE: Duration = Duration::from_millis(5_000);

pub fn play(mut stage: Stage) -> io::Result<Verdict> {
    let none = Cut::default();
    stage.publish();
    for (name, zone) in [("front-a", "zone-a"), ("front-b", "zone-b"), ("front-c", "zone-c")] {
        stage.nodes.push(stage.platform.start_node(name, zone, &none)?);
    }
    if !stage.wait_ready(Duration::from_secs(8)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_millis(3_500));
    let crashed = Instant::now();
    if stage.has_trouble {
        stage.platform.runners.iter().for_each(|runner| runner.crash());
        stage.write("rack r-1 crashes and is silent");
    }
    let mut accepted: Vec<(String, Instant)> = Vec::new();
    for number in 0..JOBS {
        let id = format!("5c0e7a21d94b3{number:03x}");
        let body = r#"{"Spec":"work=1500","Steps":[{"Count":2,"Cpu":1000,"MemMb":256,"EstimateMs":1500}]}"#;
        if stage.submit(number % 3, &id, body) {
            accepted.push((id, Instant::now()));
        }
    }
    let mut is_broken = false;
    while crashed.elapsed() < DARK_TIME {
        thread::sleep(Duration::from_millis(200));
        for node in 0..stage.nodes.len() {
            let is_waiting = |(id, at): &&(String, Instant)| {
                at.elapsed() > COUNTED_AGE && !stage.platform.record.has_begun(id)
            };
            let waiting = accepted.iter().filter(is_waiting).count();
            if waiting == 0 {
                continue;
            }
            let (status, text) = stage.call(node, "GET", "/jobs/", "");
            let count = text.split(|char: char| !char.is_ascii_digit()).find_map(|part| part.parse().ok());
            let still_waiting = accepted.iter().filter(is_waiting).count().min(waiting);
            if status == 200 && count.is_some_and(|count: usize| count * 2 < still_waiting) {
                stage.write(&format!("MIXED: {still_waiting} accepted jobs have not begun, older than 5 s"));
                is_broken = true;
            }
        }
    }
    if stage.has_trouble {
        stage.platform.runners.iter().for_each(|runner| runner.restart());
        stage.write("rack r-1 is back");
    }
    thread::sleep(Duration::from_millis(9_000));
    let mut completed = 0;
    for (id, _) in &accepted {
        let (_, state) = stage.call(0, "GET", &format!("/jobs/{id}"), "");
        completed += usize::from(state.contains("completed"));
    }
    stage.write(&format!("{completed} of {} jobs are completed", accepted.len()));
    if accepted.len() < JOBS || (!stage.has_trouble && completed < JOBS) {
        return Ok(Verdict::NotRun);
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
