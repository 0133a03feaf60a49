//! An unhealthy runner while the others of its service are full.
use crate::{
    fleet::MachineShape,
    json::Json,
    record::Record,
    system::{NODES, Queue, System},
};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};

const RUNNERS: usize = 12;
const JOBS: usize = 10;
/// `visible_ms` + 2 s.
const VISIBLE: Duration = Duration::from_secs(5);
/// How long the runner is unhealthy.
const UNHEALTHY: Duration = Duration::from_millis(6_500);

pub fn play(record: Record, trouble: bool) -> Result<Vec<String>, String> {
    let press = MachineShape { service: "press", labels: vec!["a", "r1-1"], cpu: 16_000, mem_mb: 32_768 };
    let queues = [Queue { name: "proofs", service: "press" }, Queue { name: "plates", service: "press" }];
    let system = System::start(&vec![press; RUNNERS], &[], &queues, record.clone())?;
    sleep(Duration::from_secs(3));
    // Work that lasts and fills all runners but one.
    let filling = format!(
        "{{\"Spec\":\"lasts\",\"Steps\":[{{\"Count\":{},\"Cpu\":16000,\"MemMb\":8192,\"EstimateMs\":1000,\"LongRunning\":true,\"AntiAffinity\":1}}]}}",
        RUNNERS - 1
    );
    if !system.submit(queues[1], "00000000000000c0", &filling) {
        return Err("the filling job was not accepted".to_owned());
    }
    sleep(Duration::from_secs(2));
    let busy: Vec<String> = (0..RUNNERS - 1)
        .flat_map(|index| system.fleet.events_of(&format!("00000000000000c0.0.0.{index}")))
        .map(|event| event.machine)
        .collect();
    let free: Vec<usize> = (0..RUNNERS).filter(|index| !busy.contains(&system.fleet.machine_name(*index))).collect();
    let [free] = free[..] else {
        return Err(format!("{} runners are free", free.len()));
    };
    if trouble {
        record.line(&format!("{} turns unhealthy", system.fleet.machine_name(free)));
        system.fleet.set_unhealthy(free, true);
    }
    let turned = Instant::now();
    let ids: Vec<String> = (0..JOBS).map(|number| format!("00000000000000d{number:x}")).collect();
    for id in &ids {
        let job = "{\"Spec\":\"ms=500\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"MemMb\":512,\"EstimateMs\":500}]}";
        if !system.submit(queues[0], id, job) {
            return Err(format!("job {id} was not accepted"));
        }
    }
    let accepted = Instant::now();
    sleep((accepted + VISIBLE + Duration::from_millis(200)).saturating_duration_since(Instant::now()));
    let mut broken = Vec::new();
    for node in 0..NODES {
        let has_begun = |id: &&String| !system.fleet.events_of(&format!("{id}.0.0.0")).is_empty();
        let waiting = JOBS - ids.iter().filter(has_begun).count();
        let answer = system.call(node, "GET", queues[0], "", "");
        let still_waiting = JOBS - ids.iter().filter(has_begun).count();
        let Some((200, text)) = answer else { continue };
        let pending = Json::parse(&text).and_then(|json| json.get("Pending").u64()).unwrap_or(0) as usize;
        record.line(&format!("{}: Pending {pending}, jobs that have not begun {waiting}", system.nodes[node].name));
        if waiting == still_waiting && pending * 2 < waiting {
            broken.push(format!(
                "MIXED: {} gives {pending} as Pending; {waiting} jobs accepted over 5 s ago have not begun",
                system.nodes[node].name
            ));
        }
    }
    sleep((turned + UNHEALTHY).saturating_duration_since(Instant::now()));
    system.fleet.set_unhealthy(free, false);
    record.line("all runners are sound");
    sleep(Duration::from_secs(3));
    let has_begun = |id: &&String| !system.fleet.events_of(&format!("{id}.0.0.0")).is_empty();
    record.line(&format!("{} of {JOBS} jobs have begun", ids.iter().filter(has_begun).count()));
    Ok(broken)
}
