//! The cases, each with its check.

use {
    crate::{
        fleet::STARTUP_MS,
        json::Json,
        record::{Record, RunChange, RunEvent},
        system::{Shape, System},
    },
    std::{
        io,
        path::Path,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Plays a case; returns what broke the rule, if anything did.
pub fn play(
    case: &str,
    trouble: bool,
    folder: &Path,
    record: &Arc<Record>,
) -> io::Result<Option<String>> {
    match case {
        "restart" => restart(trouble, folder, record),
        "label" => label(trouble, folder, record),
        "pending" => pending(trouble, folder, record),
        "wave" => wave(trouble, folder, record),
        "missing" => missing(trouble, folder, record),
        "reserved" => reserved(trouble, folder, record),
        _ => Err(io::Error::other("no such case")),
    }
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Returns the first pair of runs of one work item that were at work at the same time on runners that were up.
fn double_run(events: &[RunEvent]) -> Option<String> {
    let mut at_work: Vec<&RunEvent> = Vec::new();
    for event in events {
        let is_same = |other: &&RunEvent| {
            other.task == event.task && other.run == event.run && other.machine == event.machine
        };
        if event.change != RunChange::Started {
            at_work.retain(|other| !is_same(other));
            continue;
        }
        if let Some(other) = at_work.iter().find(|other| other.task == event.task) {
            return Some(format!(
                "{} began run {} on {} at {} ms while run {} on {}, begun at {} ms, was at work",
                event.task,
                event.run,
                event.machine,
                event.at_ms,
                other.run,
                other.machine,
                other.at_ms
            ));
        }
        at_work.push(event);
    }
    None
}

/// A runner is killed and starts again under its id, while short jobs come.
fn restart(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const RUNNERS: usize = 9;
    const PERIOD_MS: u64 = 300;
    const JOBS: u64 = 250;
    /// A runner is killed once in this many jobs.
    const JOBS_BETWEEN: u64 = 8;
    /// Step by which the time of a kill within the period changes.
    const PHASE_STEP_MS: u64 = 97;
    const DOWN: Duration = Duration::from_millis(50);
    let shape = Shape {
        pools: vec![("sorting", RUNNERS, false), ("billing", 4, false)],
        cpu: 16_000,
        mem_mb: 32_768,
        special: None,
    };
    let system = System::start(&shape, folder, record)?;
    thread::scope(|scope| {
        let start = Instant::now();
        for number in 0..JOBS {
            let id = format!("{:016x}", 0x00a1_0000 + number);
            let body = format!(
                "{{\"Spec\":\"work=150\",\"Steps\":[{{\"Count\":5,\"Cpu\":16000,\"MemMb\":1024,\"EstimateMs\":100}}]}}"
            );
            let at = Duration::from_millis(number * PERIOD_MS);
            thread::sleep(at.saturating_sub(start.elapsed()));
            let system = &system;
            scope.spawn(move || system.submit("sorting", &id, &body));
            if trouble && number % JOBS_BETWEEN == JOBS_BETWEEN - 1 {
                let round = number / JOBS_BETWEEN;
                let fleet = Arc::clone(&system.fleet);
                let delay = round * PHASE_STEP_MS % PERIOD_MS;
                scope.spawn(move || {
                    sleep_ms(delay);
                    if let Err(error) = fleet.restart_runner(round as usize % RUNNERS, DOWN) {
                        fleet.record.line(&format!("not restarted: {error}"));
                    }
                });
            }
            if double_run(&record.events()).is_some() {
                break;
            }
        }
    });
    sleep_ms(3_000);
    Ok(double_run(&record.events()))
}

/// Work that only one runner may run fails once there.
fn label(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const SPECIAL: usize = 3;
    /// From this time after the last run on, a work item that lasts may not wait for 3 s.
    const AFTER_RUN_MS: u64 = 6_000;
    const IDLE_MS: u64 = 3_000;
    let shape = Shape {
        pools: vec![("sorting", 11, false), ("billing", 4, false)],
        cpu: 16_000,
        mem_mb: 32_768,
        special: Some(SPECIAL),
    };
    let system = System::start(&shape, folder, record)?;
    let fail = if trouble { " fail_first=3000" } else { "" };
    let lasting = "00000000000000b1";
    let body = format!(
        "{{\"Spec\":\"work=0{fail}\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":900,\"RequiredLabel\":\"b\",\"LongRunning\":true}}]}}"
    );
    if !system.submit("sorting", lasting, &body) {
        return Err(io::Error::other("the job that lasts was not accepted"));
    }
    let single = "00000000000000b2";
    let fail = if trouble { " fail_first=500" } else { "" };
    let body = format!(
        "{{\"Spec\":\"work=1000{fail}\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":900,\"RequiredLabel\":\"b\"}}]}}"
    );
    if !system.submit("sorting", single, &body) {
        return Err(io::Error::other("the job that ends was not accepted"));
    }
    sleep_ms(30_000);
    let state = system.state("sorting", single);
    let runs = system.fleet.running();
    let runs: Vec<String> = runs
        .iter()
        .map(|(machine, task, run)| format!("{machine} {task} {run}"))
        .collect();
    record.line(&format!("runners: at work now: {}", runs.join(", ")));
    let now = record.now();
    let events = record.events();
    let waited = waiting_time(&events, lasting, now);
    if waited > AFTER_RUN_MS + IDLE_MS {
        return Ok(Some(format!(
            "the work item of {lasting}, which lasts, has had no run for {waited} ms after its run failed, with the only \
             runner of its label idle; {single} is shown as {state:?}"
        )));
    }
    Ok(None)
}

/// Returns the longest time without a run after a run of the job's work item.
fn waiting_time(events: &[RunEvent], job: &str, now: u64) -> u64 {
    let mut ended: Option<u64> = None;
    let mut longest = 0;
    for event in events.iter().filter(|event| event.task.starts_with(job)) {
        match event.change {
            RunChange::Started => {
                longest = longest.max(ended.take().map_or(0, |at| event.at_ms - at));
            }
            _ => ended = Some(event.at_ms),
        }
    }
    longest.max(ended.map_or(0, |at| now - at))
}

/// The only runner of a label answers starts with 503 for some seconds.
fn pending(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const SPECIAL: usize = 3;
    const JOBS: usize = 10;
    const GREY_MS: u64 = 6_500;
    /// `visible_ms` and 2 s: the age from which on a job has to be counted.
    const AGE_MS: u64 = 5_000;
    let shape = Shape {
        pools: vec![("sorting", 11, false), ("billing", 4, false)],
        cpu: 16_000,
        mem_mb: 32_768,
        special: Some(SPECIAL),
    };
    let system = System::start(&shape, folder, record)?;
    let began = Instant::now();
    if trouble {
        system.fleet.refuse_starts(SPECIAL, true);
    }
    for number in 0..JOBS {
        let body = "{\"Spec\":\"work=1000\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":900,\"RequiredLabel\":\"b\"}]}";
        if !system.submit("sorting", &format!("{:016x}", 0xc1 + number), body) {
            return Err(io::Error::other("a job was not accepted"));
        }
    }
    sleep_ms(AGE_MS + 300);
    let mut seen = None;
    for node in 0..system.node_count() {
        let begun = record
            .events()
            .iter()
            .filter(|event| event.change == RunChange::Started)
            .count();
        let waiting = JOBS - begun.min(JOBS);
        let answer = system.ask(node, "GET", "sorting", "", "");
        let value = answer.and_then(|answer| Json::parse(&answer.text()));
        let shown = value.and_then(|value| value.number("Pending"));
        let in_time = began.elapsed() < Duration::from_millis(GREY_MS);
        if let Some(shown) = shown.filter(|shown| in_time && 2 * shown < waiting as u64) {
            seen.get_or_insert(format!(
                "node {} gives {shown} as Pending, and {waiting} accepted jobs have waited for more than {AGE_MS} ms without \
                 a start",
                node + 1
            ));
        }
    }
    thread::sleep(Duration::from_millis(GREY_MS).saturating_sub(began.elapsed()));
    system.fleet.refuse_starts(SPECIAL, false);
    sleep_ms(5_000);
    Ok(seen)
}

/// A job that lasts and can never be placed comes among ordinary ones.
fn reserved(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const RUNNERS: usize = 8;
    const CPU: u64 = 16_000;
    const SMALL_CPU: u64 = 1_000;
    /// Each needs a whole machine, and none is ever empty.
    const HOPELESS_ITEMS: usize = 8;
    const JOBS: usize = 40;
    /// `finish_s`: the time after the end of the traffic at which jobs are asked for.
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3_000;
    let shape = Shape {
        pools: vec![("sorting", RUNNERS, false), ("billing", 4, false)],
        cpu: 16_000,
        mem_mb: 32_768,
        special: None,
    };
    let system = System::start(&shape, folder, record)?;
    let small = format!(
        "{{\"Spec\":\"work=0\",\"Steps\":[{{\"Count\":{RUNNERS},\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":900,\"AntiAffinity\":1,\"LongRunning\":true}}]}}"
    );
    if !system.submit("sorting", "00000000000000d1", &small) {
        return Err(io::Error::other("the job that lasts was not accepted"));
    }
    sleep_ms(2_000);
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        if trouble && number == JOBS / 2 {
            let hopeless = format!(
                "{{\"Spec\":\"work=0\",\"Steps\":[{{\"Count\":{HOPELESS_ITEMS},\"Cpu\":{CPU},\"MemMb\":1024,\"EstimateMs\":900,\"LongRunning\":true}}]}}"
            );
            system.submit("sorting", "00000000000000d2", &hopeless);
        }
        let id = format!("{:016x}", 0xe00 + number);
        let body = "{\"Spec\":\"work=300\",\"Steps\":[{\"Count\":2,\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":300}]}";
        if system.submit("sorting", &id, body) {
            accepted.push(id);
        }
        sleep_ms(150);
    }
    sleep_ms(FINISH_MS + IDLE_MS);
    let running = system.fleet.running();
    let used: u64 = running
        .iter()
        .map(|(_, task, _)| {
            if task.starts_with("00000000000000d2") {
                CPU
            } else {
                SMALL_CPU
            }
        })
        .sum();
    let total = CPU * RUNNERS as u64;
    record.line(&format!(
        "runners: {} runs at work now, on {used} of {total} thousandths of a core",
        running.len()
    ));
    let mut waiting = Vec::new();
    for id in &accepted {
        let state = system.state("sorting", id);
        let is_at_work = running
            .iter()
            .any(|(_, task, _)| task.starts_with(id.as_str()));
        let last = record
            .events()
            .iter()
            .filter(|event| event.task.starts_with(id.as_str()))
            .map(|event| event.at_ms)
            .max();
        let idle = last.is_none_or(|at| record.now() > at + IDLE_MS);
        if state != "completed" && !is_at_work && idle {
            waiting.push(format!("{id} ({state})"));
        }
    }
    let has_room = 2 * used < total;
    if waiting.is_empty() || !has_room {
        return Ok(None);
    }
    Ok(Some(format!(
        "{} of {} accepted jobs have nothing running for {IDLE_MS} ms, {FINISH_MS} ms after the end of the traffic, with \
         {used} of {total} thousandths of a core in use; the first: {}",
        waiting.len(),
        accepted.len(),
        waiting[0]
    )))
}

/// The answers to two starts of work that lasts are lost.
fn missing(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const MAY_MISS: usize = 1;
    /// Runners that lose answers, of 9, and how many answers.
    const LOSING: usize = 4;
    const LOST: u64 = 2;
    /// Largest share of the requests whose answers are lost, in thousandths.
    const MOST_LOST: u64 = 25;
    const LOSS_MS: u64 = 5_500;
    const PERIOD_MS: u64 = 200;
    /// The queue's demand falls for a second, in which the job that lasts comes.
    const QUIET: std::ops::Range<u64> = 10..16;
    const LASTING_AT: u64 = 12;
    let shape = Shape {
        pools: vec![("sorting", 9, false), ("billing", 4, false)],
        cpu: 16_000,
        mem_mb: 32_768,
        special: None,
    };
    let system = System::start(&shape, folder, record)?;
    let lasting = "00000000000000f1";
    if trouble {
        system.fleet.lose_answers(LOSING, lasting, LOST);
    }
    let began = Instant::now();
    for number in 0..LOSS_MS / PERIOD_MS {
        if number == LASTING_AT {
            let body = format!(
                "{{\"Spec\":\"work=0\",\"Steps\":[{{\"Count\":5,\"Cpu\":1000,\"MemMb\":1024,\"EstimateMs\":900,\"AntiAffinity\":1,\"LongRunning\":true,\"MayMiss\":{MAY_MISS}}}]}}"
            );
            if !system.submit("sorting", lasting, &body) {
                return Err(io::Error::other("the job that lasts was not accepted"));
            }
        }
        let body = "{\"Spec\":\"work=100\",\"Steps\":[{\"Count\":16,\"Cpu\":5000,\"MemMb\":1024,\"EstimateMs\":100}]}";
        if !QUIET.contains(&number) {
            system.submit("sorting", &format!("{:016x}", 0xf00 + number), body);
        }
        let next = Duration::from_millis((number + 1) * PERIOD_MS);
        thread::sleep(next.saturating_sub(began.elapsed()));
    }
    let (lost, requests) = system.fleet.end_lost_answers();
    record.line(&format!(
        "runners: {lost} answers lost of {requests} requests to {LOSING} of 9 runners"
    ));
    if lost * 1_000 > requests * MOST_LOST {
        return Err(io::Error::other(
            "too few requests came for this number of lost answers",
        ));
    }
    sleep_ms(5_000);
    Ok(too_many_stopped(&record.events(), lasting, MAY_MISS))
}

/// Returns the first stop that ended a work item at work while too many others of its step were away because of stops.
fn too_many_stopped(events: &[RunEvent], job: &str, may_miss: usize) -> Option<String> {
    // Work item, start of its run at work, and whether a stop has ended it.
    let mut items: Vec<(&str, Option<u64>, bool)> = Vec::new();
    for event in events.iter().filter(|event| event.task.starts_with(job)) {
        let index = items.iter().position(|(task, _, _)| *task == event.task);
        let index = index.unwrap_or_else(|| {
            items.push((&event.task, None, false));
            items.len() - 1
        });
        let is_at_work = |begun: u64| event.at_ms >= begun + STARTUP_MS;
        let stopped = event.change == RunChange::Ended("stopped");
        if stopped && items[index].1.is_some_and(is_at_work) {
            let others = items
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let away: Vec<&str> = others
                .filter(|(_, (_, begun, ended))| *ended && !begun.is_some_and(is_at_work))
                .map(|(_, (task, _, _))| *task)
                .collect();
            if away.len() >= may_miss {
                return Some(format!(
                    "a stop ended {} on {} at {} ms, which was at work, while {} was away because of a stop",
                    event.task,
                    event.machine,
                    event.at_ms,
                    away.join(" and ")
                ));
            }
        }
        match event.change {
            RunChange::Started => items[index].1 = Some(event.at_ms),
            _ => {
                items[index].1 = None;
                items[index].2 = stopped;
            }
        }
    }
    None
}

/// Machines are due for upkeep, two at once, and there is one free place for the work that leaves them.
fn wave(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Option<String>> {
    const RUNNERS: usize = 5;
    const MEM_MB: u64 = 32_768;
    const WIDE_MB: u64 = 12_000;
    const SINGLE_MB: u64 = 17_000;
    const SINGLES: usize = 4;
    const AT_ONCE: u64 = 2;
    const WAVE_S: u64 = 26;
    /// From this time after the last run on, a work item that lasts may not wait for 3 s.
    const AFTER_RUN_MS: u64 = 6_000;
    const IDLE_MS: u64 = 3_000;
    let shape = Shape {
        pools: vec![
            ("sorting", RUNNERS, false),
            ("billing", 4, false),
            ("pricing", 4, false),
        ],
        cpu: 16_000,
        mem_mb: MEM_MB,
        special: None,
    };
    let system = System::start(&shape, folder, record)?;
    let wide = "0000000000000aa0";
    let body = format!(
        "{{\"Spec\":\"work=0\",\"Steps\":[{{\"Count\":{RUNNERS},\"Cpu\":1000,\"MemMb\":{WIDE_MB},\"EstimateMs\":900,\"AntiAffinity\":1,\"LongRunning\":true}}]}}"
    );
    let mut accepted = system.submit("sorting", wide, &body);
    sleep_ms(1_000);
    let singles: Vec<String> = (0..SINGLES)
        .map(|number| format!("{:016x}", 0xaa1 + number))
        .collect();
    for id in &singles {
        let body = format!(
            "{{\"Spec\":\"work=0\",\"Steps\":[{{\"Count\":1,\"Cpu\":1000,\"MemMb\":{SINGLE_MB},\"EstimateMs\":900,\"LongRunning\":true}}]}}"
        );
        accepted &= system.submit("sorting", id, &body);
        sleep_ms(300);
    }
    sleep_ms(2_000);
    let running = system.fleet.running();
    let is_single = |task: &str| singles.iter().any(|id| task.starts_with(id.as_str()));
    let due = running.iter().filter(|(_, task, _)| is_single(task));
    let mut due: Vec<String> = due.map(|(machine, _, _)| machine.clone()).collect();
    // One machine of another service, which is empty.
    due.push(format!("m-{RUNNERS:03}"));
    if !accepted || running.len() != RUNNERS + SINGLES {
        return Err(io::Error::other("the jobs do not run as expected"));
    }
    if trouble {
        system.fleet.request_wave(1, &due, WAVE_S, AT_ONCE);
    }
    sleep_ms(AFTER_RUN_MS + IDLE_MS + 6_000);
    let running = system.fleet.running();
    let mut used = [0_u64; RUNNERS];
    for (machine, task, _) in &running {
        let mem_mb = if is_single(task) { SINGLE_MB } else { WIDE_MB };
        let index: usize = machine[2..].parse().unwrap_or(0);
        used[index] += mem_mb;
    }
    let room: u64 = used.iter().map(|used| (MEM_MB - used) / SINGLE_MB).sum();
    record.line(&format!(
        "runners: memory in use {used:?} of {MEM_MB} MB each"
    ));
    let (events, now) = (record.events(), record.now());
    let waiting = singles
        .iter()
        .find(|id| waiting_time(&events, id, now) > AFTER_RUN_MS + IDLE_MS);
    Ok(waiting.filter(|_| room >= 2).map(|id| {
        format!(
            "the work item of {id}, which lasts, has had no run for {} ms after a stop, with room for it on {room} runners",
            waiting_time(&events, id, now)
        )
    }))
}
