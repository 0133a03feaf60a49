//! Work items that take long on sound runners.
use crate::{
    fleet::MachineShape,
    record::Record,
    system::{Queue, System},
};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};

const FINISH: Duration = Duration::from_secs(14);
const WATCHED: Duration = Duration::from_secs(30);

pub fn play(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let shape = |kind| MachineShape {
        service: "archive",
        labels: vec![kind, "r1-1"],
        cpu: 16_000,
        mem_mb: 32_768,
    };
    let mut machines = vec![shape("a"); 5];
    machines.push(shape("b"));
    let queue = Queue {
        name: "night",
        service: "archive",
    };
    let system = System::start(&machines, &[], &[queue], record.clone())?;
    sleep(Duration::from_secs(3));
    // The same job, but its work takes ten times as long.
    let work_ms = if trouble { 400_000 } else { 40_000 };
    let body = format!(
        "{{\"Spec\":\"ms={work_ms}\",\"Steps\":[{{\"Count\":1,\"Cpu\":2000,\"MemMb\":1024,\"EstimateMs\":{work_ms},\"RequiredLabel\":\"b\"}}]}}"
    );
    let id = "00000000000000b1";
    if !system.submit(queue, id, &body) {
        return Err("the job was not accepted".to_owned());
    }
    let item = format!("{id}.0.0.0");
    let _traffic_ends = Instant::now();
    sleep(FINISH);
    let mut idle_since: Option<Instant> = None;
    let mut longest_idle = Duration::ZERO;
    let until = Instant::now() + WATCHED;
    let mut completed = false;
    while Instant::now() < until && !completed {
        if system.fleet.is_running(&item) {
            idle_since = None;
        } else {
            let since = *idle_since.get_or_insert_with(Instant::now);
            longest_idle = longest_idle.max(since.elapsed());
            let answer = system.quiet_call(0, "GET", queue, id, "");
            completed = answer.is_some_and(|(_, text)| text.contains("completed"));
        }
        sleep(Duration::from_millis(20));
    }
    system.call(0, "GET", queue, id, "");
    let events = system.fleet.events_of(&item);
    let starts = events.iter().filter(|event| event.what == "start").count();
    let stops = events
        .iter()
        .filter(|event| event.what == "stopped")
        .count();
    record.line(&format!("{starts} starts, {stops} runs stopped, completed {completed}; longest time without a run {:.2} s", longest_idle.as_secs_f64()));
    let mut broken = Vec::new();
    if !completed && longest_idle >= Duration::from_secs(3) {
        broken.push(format!(
            "LOST: {:.1} s with nothing of accepted job {id} running; its runner is sound, idle and has room for 8 such work items; {starts} starts, {stops} stopped by the system after about 2.5 s each",
            longest_idle.as_secs_f64()
        ));
    }
    Ok(broken)
}
