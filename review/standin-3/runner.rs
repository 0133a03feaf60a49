//! A runner: one life of a machine, which carries out orders under leases.

use crate::{
    http::{Reply, Request},
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest lease that a runner grants, on its own clock (`HoldMaxMs`).
pub const HOLD_MAX_MS: u64 = 10_000;
/// Longest time that a stop takes (`StopMs`).
const STOP_MS: u64 = 100;
const TICK: Duration = Duration::from_millis(5);
const MAX_ENDS: usize = 500;
const FULL_PERCENT: u64 = 100;
const MICROS_PER_MILLI: u64 = 1_000;

/// Who reaches the runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    Everyone,
    /// Only calls with this fence number: those of the machines on its side of a cut.
    Token(u64),
    /// All but calls with this fence number.
    NotToken(u64),
    /// Nobody: it has crashed and is silent.
    Nobody,
}

#[derive(Debug)]
struct Run {
    task: String,
    run: u64,
    work_ms: u64,
    /// Work done so far, in microseconds.
    done_us: u64,
    stop_at: Option<Instant>,
}

impl Run {
    fn percent(&self) -> u64 {
        (self.done_us * FULL_PERCENT / (self.work_ms * MICROS_PER_MILLI)).min(FULL_PERCENT)
    }
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug)]
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    /// End of the lease on the runner's clock.
    deadline: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each work item that must not start any more.
    refused: BTreeMap<String, u64>,
    reach: Reach,
    /// Work takes this many times as long.
    slowness: u64,
    advanced: Instant,
}

#[derive(Debug)]
pub struct Runner {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    /// Its first label.
    kind: String,
    pub address: SocketAddr,
    /// Speed of its steady clock in percent of real time.
    clock_percent: u64,
    record: Arc<Record>,
    life: Mutex<Life>,
}

pub struct RunnerShape {
    pub id: &'static str,
    pub machine: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub rack: &'static str,
    pub kind: &'static str,
    pub clock_percent: u64,
}

impl Runner {
    pub fn new(shape: &RunnerShape, address: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: shape.id.to_owned(),
            machine: shape.machine.to_owned(),
            service: shape.service.to_owned(),
            zone: shape.zone.to_owned(),
            rack: shape.rack.to_owned(),
            kind: shape.kind.to_owned(),
            address,
            clock_percent: shape.clock_percent,
            record,
            life: Mutex::new(Life {
                born: unix_ms(),
                started: Instant::now(),
                token: 0,
                deadline: 0,
                runs: Vec::new(),
                ends: Vec::new(),
                last_end: 0,
                refused: BTreeMap::new(),
                reach: Reach::Everyone,
                slowness: 1,
                advanced: Instant::now(),
            }),
        });
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.advance();
            }
        });
        runner
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    fn clock(&self, life: &Life) -> u64 {
        life.started.elapsed().as_millis() as u64 * self.clock_percent / FULL_PERCENT
    }

    pub fn set_reach(&self, reach: Reach) {
        self.life().reach = reach;
    }

    /// Makes work take `slowness` times as long from now on.
    pub fn set_slowness(&self, slowness: u64) {
        self.life().slowness = slowness;
    }

    /// Ends this life as a crash does: everything that runs ends, and nobody is answered.
    pub fn crash(&self) {
        let mut life = self.life();
        for run in std::mem::take(&mut life.runs) {
            self.note(&run.task, run.run, "ends with its crashed runner");
        }
        life.reach = Reach::Nobody;
    }

    /// Begins the next life under the same id.
    pub fn restart(&self, reach: Reach) {
        let mut life = self.life();
        life.born = unix_ms();
        life.started = Instant::now();
        (life.token, life.deadline, life.last_end) = (0, 0, 0);
        life.ends.clear();
        life.refused.clear();
        life.reach = reach;
    }

    /// Returns the highest fence number that the runner has seen.
    pub fn token(&self) -> u64 {
        self.life().token
    }

    /// Returns whether it writes its entry in the store now.
    pub fn checks_in(&self) -> bool {
        !matches!(self.life().reach, Reach::Nobody | Reach::Token(_))
    }

    pub fn is_crashed(&self) -> bool {
        self.life().reach == Reach::Nobody
    }

    /// Returns its entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let (service, zone, rack) = (quote(&self.service), quote(&self.zone), quote(&self.rack));
        format!(
            "{{\"Service\":{service},\"Address\":\"{}\",\"Zone\":{zone},\"Version\":\"1\",\
             \"Slots\":8,\"State\":\"ready\",\"Sequence\":{sequence},\"born\":{},\
             \"Capacity\":{CAPACITY},\"Labels\":[{},{rack}]}}",
            self.address,
            self.life().born,
            quote(&self.kind)
        )
    }

    fn note(&self, task: &str, run: u64, what: &str) {
        self.record.write(&format!("runner {}: {task} run {run} {what}", self.id));
    }

    pub fn handle(&self, request: &Request) -> Option<Reply> {
        let body = Json::parse(&request.body)?;
        let token = body.get("FencingToken").number().unwrap_or(0);
        let is_reached = match self.life().reach {
            Reach::Everyone => true,
            Reach::Token(only) => token == only,
            Reach::NotToken(other) => token != other,
            Reach::Nobody => false,
        };
        if !is_reached {
            return None;
        }
        let expected = request.header("x-goldcreststall-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Some(Reply::new(421, ""));
        }
        match request.path.as_str() {
            "/run-start" => Some(self.start(&body, token)),
            "/run-stop" => Some(self.stop(&body, token)),
            "/hold" => self.hold(&body, token),
            "/pace" => Some(self.reading(&self.life())),
            _ => Some(Reply::new(404, "")),
        }
    }

    fn reading(&self, life: &Life) -> Reply {
        Reply::new(200, format!("{{\"ClockMs\":{}}}", self.clock(life)))
    }

    fn refusal(&self, life: &Life, reason: &str) -> Reply {
        let clock = self.clock(life);
        Reply::new(409, format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"))
    }

    fn extend(&self, life: &mut Life, deadline: u64) {
        let longest = self.clock(life) + HOLD_MAX_MS;
        life.deadline = life.deadline.max(deadline.min(longest));
    }

    fn start(&self, body: &Json, token: u64) -> Reply {
        let (task, run) = (body.get("Task").text(), body.get("Run").number().unwrap_or(0));
        let deadline = body.get("DeadlineMs").number().unwrap_or(0);
        let mut life = self.life();
        if token < life.token {
            return self.refusal(&life, "fence");
        }
        life.token = token;
        if deadline <= self.clock(&life) {
            return self.refusal(&life, "late");
        }
        self.extend(&mut life, deadline);
        if life.runs.iter().any(|known| known.task == task && known.run == run) {
            return self.reading(&life);
        }
        if life.refused.get(task).is_some_and(|highest| *highest >= run) {
            return self.refusal(&life, "old");
        }
        let spec = body.get("Spec").text();
        let work_ms = spec.strip_prefix("work=").and_then(|text| text.parse().ok());
        life.runs.push(Run {
            task: task.to_owned(),
            run,
            work_ms: work_ms.unwrap_or(1_000),
            done_us: 0,
            stop_at: None,
        });
        self.record.begin(task);
        let lease = life.deadline - self.clock(&life);
        self.note(task, run, &format!("begins, fence {token}, lease {lease} ms on its clock"));
        self.reading(&life)
    }

    fn stop(&self, body: &Json, token: u64) -> Reply {
        let (task, run) = (body.get("Task").text(), body.get("Run").number().unwrap_or(0));
        let mut life = self.life();
        if token < life.token {
            return self.refusal(&life, "fence");
        }
        life.token = token;
        let highest = life.refused.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        let stop_at = Instant::now() + Duration::from_millis(STOP_MS);
        let same = |known: &&mut Run| known.task == task && known.run == run;
        if let Some(known) = life.runs.iter_mut().find(same) {
            known.stop_at.get_or_insert(stop_at);
        }
        self.reading(&life)
    }

    fn hold(&self, body: &Json, token: u64) -> Option<Reply> {
        let wait = Duration::from_millis(body.get("WaitMs").number().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut life = self.life();
        if token < life.token {
            return Some(self.refusal(&life, "fence"));
        }
        life.token = token;
        if let Some(deadline) = body.get("DeadlineMs").number() {
            self.extend(&mut life, deadline);
        }
        let seen = body.get("LastSeen").number().unwrap_or(0);
        life.ends.retain(|end| end.number > seen);
        let born = life.born;
        while life.ends.is_empty() && Instant::now() < until {
            drop(life);
            thread::sleep(TICK);
            life = self.life();
        }
        if life.born != born || life.reach == Reach::Nobody {
            return None;
        }
        Some(Reply::new(200, self.lists(&life)))
    }

    fn lists(&self, life: &Life) -> String {
        let running = life.runs.iter().map(|run| {
            format!("[{},{},\"\",{},0]", quote(&run.task), run.run, run.percent())
        });
        let ended = life.ends.iter().take(MAX_ENDS).map(|end| {
            format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how)
        });
        let running: Vec<String> = running.collect();
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
            self.clock(life),
            life.born,
            running.join(","),
            ended.join(",")
        )
    }

    fn advance(&self) {
        let mut life = self.life();
        let has_lapsed = self.clock(&life) > life.deadline;
        let now = Instant::now();
        let elapsed = now.duration_since(life.advanced).as_micros() as u64 / life.slowness;
        life.advanced = now;
        for run in &mut life.runs {
            run.done_us += elapsed;
        }
        let how = |run: &Run| {
            if run.percent() == FULL_PERCENT {
                Some("done")
            } else if run.stop_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if has_lapsed {
                Some("lapsed")
            } else {
                None
            }
        };
        let ended: Vec<(usize, &'static str)> = life
            .runs
            .iter()
            .enumerate()
            .filter_map(|(index, run)| Some((index, how(run)?)))
            .collect();
        for (index, how) in ended.into_iter().rev() {
            let ended = life.runs.remove(index);
            let percent = ended.percent();
            let Run { task, run, .. } = ended;
            life.last_end += 1;
            let highest = life.refused.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            self.note(&task, run, &format!("ends {how} at {percent} percent"));
            let number = life.last_end;
            life.ends.push(End { number, task, run, how });
        }
    }

    /// Returns the work items that run now.
    pub fn running(&self) -> Vec<String> {
        self.life().runs.iter().map(|run| run.task.clone()).collect()
    }
}

pub const CAPACITY: &str = "{\"Cpu\":32000,\"MemMb\":65536,\"Gpu\":0}";

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
