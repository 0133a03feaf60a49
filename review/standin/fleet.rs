//! The machines, their runners and the host service of the platform.
//!
//! The text of a job tells the runner how the work behaves, as words `key=value`:
//! `work` is its duration in ms (0 for work that lasts), `fail_first` the time in ms after which the first run of each
//! work item ends as failed.

use {
    crate::{
        http::{Request, Response, Server},
        json::{Json, quote},
        record::{Record, RunChange},
        store::Store,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Bounds of the installation, as in its settings.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const MOVE_MS: u64 = 1_500;
pub const UPKEEP_MS: u64 = 2_000;
pub const HEARTBEAT_MS: u64 = 1_500;
/// Time that a stop takes; the bound is 200 ms.
const STOP_TIME_MS: u64 = 100;
/// Time after which work that lasts is at 100 percent.
pub const STARTUP_MS: u64 = 300;
const MAX_LISTED_ENDS: usize = 500;
const MAX_WAIT_MS: u64 = 2_000;
/// How long a connection on which an answer was lost stays open.
const LOST_ANSWER_TIME: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(2);

/// A machine when the case begins.
#[derive(Clone, Debug)]
pub struct MachineShape {
    pub name: String,
    pub pool: String,
    pub address: SocketAddr,
    pub kind: String,
    pub rack: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    task: String,
    run: u64,
    spec: String,
    started: u64,
    stop_at: Option<u64>,
    fails_at: Option<u64>,
}

impl Run {
    fn percent(&self, now: u64) -> u64 {
        let work = match spec_number(&self.spec, "work") {
            0 => STARTUP_MS,
            work => work,
        };
        (now.saturating_sub(self.started) * 100 / work).min(100)
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One lifetime of a runner.
struct Life {
    id: String,
    born_ms: u64,
    started: u64,
    token: u64,
    deadline: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    refused: Vec<(String, u64)>,
    sequence: u64,
    next_beat: u64,
}

impl Life {
    fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.started)
    }

    fn extend(&mut self, deadline: u64, now: u64) {
        let most = self.clock(now) + HOLD_MAX_MS;
        self.deadline = self.deadline.max(deadline.min(most));
    }

    fn refuse(&mut self, task: &str, run: u64) {
        match self.refused.iter_mut().find(|(other, _)| other == task) {
            Some((_, highest)) => *highest = run.max(*highest),
            None => self.refused.push((task.to_owned(), run)),
        }
    }

    fn end(&mut self, index: usize, how: &'static str) -> Run {
        let run = self.runs.remove(index);
        self.refuse(&run.task, run.run);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: run.task.clone(),
            run: run.run,
            how,
        });
        run
    }

    fn lists(&self, now: u64) -> String {
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|run| {
                format!(
                    "[{},{},\"\",{},0]",
                    quote(&run.task),
                    run.run,
                    run.percent(now)
                )
            })
            .collect();
        let ends: Vec<String> = self
            .ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|end| {
                let task = quote(&end.task);
                format!("[{},{task},{},\"{}\",\"\"]", end.number, end.run, end.how)
            })
            .collect();
        format!(
            "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
            self.clock(now),
            self.born_ms,
            running.join(","),
            ends.join(",")
        )
    }
}

struct Machine {
    shape: MachineShape,
    pool: String,
    state: &'static str,
    until: u64,
    life: Option<Life>,
    server: Option<Server>,
    /// Answers starts with 503 and does nothing.
    refuses_starts: bool,
    /// Record of a lifetime that has ended, and when it is removed.
    stale: Option<(String, u64)>,
    maintained: Vec<u64>,
}

/// Which answers of runners are lost; the requests themselves are carried out.
#[derive(Default)]
struct LostAnswers {
    /// The first machines of the installation, whose answers may be lost.
    machines: usize,
    /// Job to whose next starts the answers are lost, and how many.
    job: String,
    left: u64,
    /// Answers that were lost, and requests that these machines have carried out since.
    lost: u64,
    requests: u64,
}

/// The machines of the installation.
pub struct Fleet {
    machines: Vec<Mutex<Machine>>,
    spare_pools: Vec<String>,
    /// Work items that were started before.
    begun: Mutex<Vec<String>>,
    store: Arc<Store>,
    pub record: Arc<Record>,
    lives: Mutex<u64>,
    lost_answers: Mutex<LostAnswers>,
}

impl Fleet {
    pub fn start(
        shapes: &[MachineShape],
        spare_pools: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let machine = |shape: &MachineShape| {
            Mutex::new(Machine {
                pool: shape.pool.clone(),
                shape: shape.clone(),
                state: "up",
                until: 0,
                life: None,
                server: None,
                refuses_starts: false,
                stale: None,
                maintained: Vec::new(),
            })
        };
        let fleet = Arc::new(Self {
            machines: shapes.iter().map(machine).collect(),
            spare_pools: spare_pools.iter().map(|pool| (*pool).to_owned()).collect(),
            begun: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            lives: Mutex::new(0),
            lost_answers: Mutex::default(),
        });
        for index in 0..shapes.len() {
            if !fleet.is_spare(&shapes[index].pool) {
                fleet.begin_life(index, None)?;
            }
        }
        let ticking = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                for index in 0..ticking.machines.len() {
                    ticking.advance(index);
                }
            }
        });
        Ok(fleet)
    }

    fn is_spare(&self, pool: &str) -> bool {
        self.spare_pools.iter().any(|spare| spare == pool)
    }

    /// Starts a runner: it listens, and then writes its entry in the store.
    fn begin_life(self: &Arc<Self>, index: usize, id: Option<String>) -> io::Result<()> {
        let number = {
            let mut lives = self.lives.lock().unwrap();
            *lives += 1;
            *lives
        };
        let now = self.record.now();
        let mut machine = self.machines[index].lock().unwrap();
        let life = Life {
            id: id.unwrap_or_else(|| format!("i-{number:06}")),
            born_ms: unix_ms(),
            started: now,
            token: 0,
            deadline: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            refused: Vec::new(),
            sequence: 0,
            next_beat: now,
        };
        let name = &machine.shape.name;
        self.record.line(&format!(
            "runner {name}: life {} begins, born {}",
            life.id, life.born_ms
        ));
        machine.life = Some(life);
        let fleet = Arc::clone(self);
        let handler = Arc::new(move |request: Request| fleet.answer(index, &request));
        machine.server = Some(Server::start(machine.shape.address, handler)?);
        self.write_entry(&mut machine, now);
        Ok(())
    }

    fn write_entry(&self, machine: &mut Machine, now: u64) {
        let shape = &machine.shape;
        let Some(life) = machine.life.as_mut().filter(|life| now >= life.next_beat) else {
            return;
        };
        life.next_beat = now + HEARTBEAT_MS;
        life.sequence += 1;
        let entry = format!(
            concat!(
                "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,",
                "\"State\":\"ready\",\"ColdRemainingMs\":0,",
                "\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Labels\":[{},{}],",
                "\"ClockMs\":{},\"Sequence\":{},\"born\":{}}}"
            ),
            quote(&machine.pool),
            shape.address,
            quote(&shape.zone),
            shape.cpu,
            shape.mem_mb,
            quote(&shape.kind),
            quote(&shape.rack),
            life.clock(now),
            life.sequence,
            life.born_ms
        );
        self.store.put("keyed.servers", &life.id, &entry);
    }

    /// Ends the lifetime of a runner and all that runs on it.
    fn end_life(&self, machine: &mut Machine, stays_listed_ms: u64) -> Option<String> {
        let life = machine.life.take()?;
        for run in &life.runs {
            self.record
                .run(&machine.shape.name, &run.task, run.run, RunChange::Lost);
        }
        machine.stale = Some((life.id.clone(), self.record.now() + stays_listed_ms));
        Some(life.id)
    }

    /// Kills the runner of a machine, and starts it again after `down` under the id that it had.
    pub fn restart_runner(self: &Arc<Self>, index: usize, down: Duration) -> io::Result<()> {
        let (id, server) = {
            let mut machine = self.machines[index].lock().unwrap();
            let name = machine.shape.name.clone();
            let busy = machine.life.as_ref().map_or(0, |life| life.runs.len());
            self.record
                .line(&format!("runner {name}: killed with {busy} runs"));
            (
                self.end_life(&mut machine, 3 * HEARTBEAT_MS),
                machine.server.take(),
            )
        };
        if let Some(server) = server {
            server.stop();
        }
        thread::sleep(down);
        self.machines[index].lock().unwrap().stale = None;
        self.begin_life(index, id)
    }

    /// Makes a runner answer starts with 503, or no longer.
    pub fn refuse_starts(&self, index: usize, refuses: bool) {
        let mut machine = self.machines[index].lock().unwrap();
        machine.refuses_starts = refuses;
        let name = &machine.shape.name;
        self.record.line(&format!(
            "runner {name}: answers starts with 503: {refuses}"
        ));
    }

    /// Loses the answers to the next starts of a job on the first `machines` machines.
    pub fn lose_answers(&self, machines: usize, job: &str, count: u64) {
        *self.lost_answers.lock().unwrap() = LostAnswers {
            machines,
            job: job.to_owned(),
            left: count,
            ..LostAnswers::default()
        };
    }

    /// Ends the loss of answers; returns how many were lost of how many requests.
    pub fn end_lost_answers(&self) -> (u64, u64) {
        let state = std::mem::take(&mut *self.lost_answers.lock().unwrap());
        (state.lost, state.requests)
    }

    /// Counts a request; returns whether the answer to it is lost.
    fn loses_answer(&self, index: usize, path: &str, task: &str) -> bool {
        let mut state = self.lost_answers.lock().unwrap();
        if index >= state.machines {
            return false;
        }
        state.requests += 1;
        let loses = path == "/run-start" && state.left > 0 && task.starts_with(&state.job);
        if loses {
            state.left -= 1;
            state.lost += 1;
        }
        loses
    }

    /// Asks for the upkeep of machines, as the operator does.
    pub fn request_wave(&self, number: u64, machines: &[String], duration_s: u64, cap: u64) {
        let names: Vec<String> = machines.iter().map(|name| quote(name)).collect();
        let value = format!(
            "{{\"Wave\":{number},\"Machines\":[{}],\"DurationS\":{duration_s},\"Cap\":{cap}}}",
            names.join(",")
        );
        self.record
            .line(&format!("operator: op/wave/{number} {value}"));
        self.store
            .put("keyed.op", &format!("wave/{number}"), &value);
    }

    /// Returns the work that runs now: machine, work item and run.
    pub fn running(&self) -> Vec<(String, String, u64)> {
        let mut running = Vec::new();
        for machine in &self.machines {
            let machine = machine.lock().unwrap();
            let name = &machine.shape.name;
            let runs = machine.life.iter().flat_map(|life| &life.runs);
            running.extend(runs.map(|run| (name.clone(), run.task.clone(), run.run)));
        }
        running
    }

    fn advance(self: &Arc<Self>, index: usize) {
        let now = self.record.now();
        let mut machine = self.machines[index].lock().unwrap();
        let name = machine.shape.name.clone();
        if machine.state != "up" && now >= machine.until {
            machine.state = "up";
            let off = self.is_spare(&machine.pool);
            if !off {
                drop(machine);
                if let Err(error) = self.begin_life(index, None) {
                    self.record
                        .line(&format!("runner {name}: not started: {error}"));
                }
                return;
            }
        }
        let stale = machine.stale.take_if(|(_, at)| now >= *at);
        if let Some((id, _)) = stale {
            self.store.put("keyed.servers", &id, "");
        }
        if let Some(life) = &mut machine.life {
            let lapsed = life.clock(now) > life.deadline;
            let mut at = 0;
            while at < life.runs.len() {
                match end_of(&life.runs[at], lapsed, now) {
                    Some(how) => {
                        let run = life.end(at, how);
                        self.record
                            .run(&name, &run.task, run.run, RunChange::Ended(how));
                    }
                    None => at += 1,
                }
            }
        }
        self.write_entry(&mut machine, now);
    }

    fn answer(&self, index: usize, request: &Request) -> Option<Response> {
        let expected = request
            .header("x-goldcreststall-expected-instance")
            .map(ToOwned::to_owned);
        let body = Json::parse(&request.text())?;
        let token = body.number("FencingToken").unwrap_or(0);
        let now = self.record.now();
        let mut machine = self.machines[index].lock().unwrap();
        let name = machine.shape.name.clone();
        let refuses_starts = machine.refuses_starts;
        let life = machine.life.as_mut()?;
        if expected.is_some_and(|id| id != life.id) {
            return Some(Response::new(421, ""));
        }
        if request.path == "/run-start" && refuses_starts {
            let (task, run) = (body.text("Task"), body.number("Run").unwrap_or(0));
            self.record.line(&format!(
                "runner {name}: 503 to the start of {task} run {run}"
            ));
            return Some(Response::new(503, ""));
        }
        let clock = life.clock(now);
        let conflict = |reason: &str| {
            let body = format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}");
            Some(Response::new(409, body))
        };
        if token < life.token {
            return conflict("fence");
        }
        life.token = token;
        let (task, run) = (body.text("Task"), body.number("Run").unwrap_or(0));
        let is_lost = self.loses_answer(index, &request.path, &task);
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body.number("DeadlineMs").unwrap_or(0);
                if deadline <= clock {
                    return conflict("late");
                }
                life.extend(deadline, now);
                let is_same = |other: &Run| other.task == task && other.run == run;
                if !life.runs.iter().any(is_same) {
                    if life
                        .refused
                        .iter()
                        .any(|(other, last)| *other == task && *last >= run)
                    {
                        return conflict("old");
                    }
                    let spec = body.text("Spec");
                    let fails_at = self.fails_at(&task, &spec, now);
                    self.record.run(&name, &task, run, RunChange::Started);
                    life.runs.push(Run {
                        task,
                        run,
                        spec,
                        started: now,
                        stop_at: None,
                        fails_at,
                    });
                }
            }
            "/run-stop" => {
                self.record
                    .line(&format!("runner {name}: told to stop {task} run {run}"));
                life.refuse(&task, run);
                let is_same = |other: &&mut Run| other.task == task && other.run == run;
                if let Some(active) = life.runs.iter_mut().find(is_same) {
                    active.stop_at.get_or_insert(now + STOP_TIME_MS);
                }
            }
            "/pace" => {}
            "/hold" => {
                let last_seen = body.number("LastSeen").unwrap_or(0);
                if let Some(deadline) = body.number("DeadlineMs") {
                    life.extend(deadline, now);
                }
                life.ends.retain(|end| end.number > last_seen);
                let wait = body.number("WaitMs").unwrap_or(0).min(MAX_WAIT_MS);
                let id = life.id.clone();
                let born_ms = life.born_ms;
                drop(machine);
                return self.wait_for_end(index, (&id, born_ms), now + wait);
            }
            _ => return Some(Response::new(404, "")),
        }
        if is_lost {
            drop(machine);
            let (path, text) = (&request.path, request.text());
            self.record.line(&format!(
                "runner {name}: the answer to {path} {text} is lost"
            ));
            thread::sleep(LOST_ANSWER_TIME);
            return None;
        }
        Some(Response::new(200, format!("{{\"ClockMs\":{clock}}}")))
    }

    /// Returns when the first run of a work item fails, if its text says so.
    fn fails_at(&self, task: &str, spec: &str, now: u64) -> Option<u64> {
        let mut begun = self.begun.lock().unwrap();
        let is_first = !begun.iter().any(|other| other == task);
        if is_first {
            begun.push(task.to_owned());
        }
        let delay = spec_number(spec, "fail_first");
        (is_first && delay > 0).then_some(now + delay)
    }

    fn wait_for_end(&self, index: usize, life: (&str, u64), until: u64) -> Option<Response> {
        loop {
            {
                let now = self.record.now();
                let machine = self.machines[index].lock().unwrap();
                let current = machine.life.as_ref()?;
                if (current.id.as_str(), current.born_ms) != life {
                    return None;
                }
                if !current.ends.is_empty() || now >= until {
                    return Some(Response::new(200, current.lists(now)));
                }
            }
            thread::sleep(TICK);
        }
    }

    /// Answers a call to the host service.
    pub fn host_service(&self, request: &Request) -> Option<Response> {
        if request.path == "/machines" {
            let rows: Vec<String> = self.machines.iter().map(machine_row).collect();
            let body = format!("{{\"Machines\":[{}],\"NextToken\":null}}", rows.join(","));
            return Some(Response::new(200, body));
        }
        let body = Json::parse(&request.text())?;
        let name = body.text("Machine");
        let holder = request
            .header("x-goldcreststall-lease-holder")
            .unwrap_or_default();
        let token = request
            .header("x-goldcreststall-fencing-token")
            .unwrap_or_default();
        let text = request.text();
        let found = self
            .machines
            .iter()
            .find(|machine| machine.lock().unwrap().shape.name == name);
        let status = found.map_or(400, |machine| self.command(machine, &request.path, &body));
        let path = &request.path;
        self.record.line(&format!(
            "hosts: {path} {text} of {holder} token {token}: {status}"
        ));
        let reason = if status == 409 {
            "{\"Reason\":\"busy\"}"
        } else {
            "{}"
        };
        Some(Response::new(status, reason))
    }

    fn command(&self, machine: &Mutex<Machine>, path: &str, body: &Json) -> u16 {
        let now = self.record.now();
        let mut machine = machine.lock().unwrap();
        let (state, until) = match path {
            "/machine-move" => {
                if machine.pool == body.text("Pool") {
                    return 200;
                }
                ("moving", now + MOVE_MS)
            }
            "/machine-upkeep" => {
                let wave = body.number("Wave").unwrap_or(0);
                if machine.maintained.contains(&wave) {
                    return 200;
                }
                ("upkeep", now + UPKEEP_MS)
            }
            _ => return 400,
        };
        if machine.state != "up" {
            return 409;
        }
        self.end_life(&mut machine, 0);
        if let Some(server) = machine.server.take() {
            thread::spawn(move || server.stop());
        }
        machine.state = state;
        machine.until = until;
        match state {
            "moving" => machine.pool = body.text("Pool"),
            _ => machine.maintained.push(body.number("Wave").unwrap_or(0)),
        }
        200
    }
}

fn machine_row(machine: &Mutex<Machine>) -> String {
    let machine = machine.lock().unwrap();
    let shape = &machine.shape;
    let id = machine
        .life
        .as_ref()
        .map_or("null".to_owned(), |life| quote(&life.id));
    format!(
        concat!(
            "{{\"Machine\":{},\"Pool\":{},\"State\":\"{}\",\"Zone\":{},\"Labels\":[{},{}],",
            "\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\"Id\":{}}}"
        ),
        quote(&shape.name),
        quote(&machine.pool),
        machine.state,
        quote(&shape.zone),
        quote(&shape.kind),
        quote(&shape.rack),
        shape.cpu,
        shape.mem_mb,
        id
    )
}

fn end_of(run: &Run, lapsed: bool, now: u64) -> Option<&'static str> {
    if lapsed {
        return Some("lapsed");
    }
    if run.stop_at.is_some_and(|at| now >= at) {
        return Some("stopped");
    }
    if run.fails_at.is_some_and(|at| now >= at) {
        return Some("failed");
    }
    let work = spec_number(&run.spec, "work");
    (work > 0 && now >= run.started + work).then_some("done")
}

/// Returns the number after `key=` in the text of a job; 0 without one.
fn spec_number(spec: &str, key: &str) -> u64 {
    let words = spec
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    let mut found = words.filter(|(name, _)| *name == key);
    found
        .next()
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
