//! An owner that is cut off together with its runners, in virtual time: runners with clocks of their own that crash and
//! restart under their ids, and calls that take time and whose answers can be lost.

mod instance;

use {
    crate::fleet::{TestFleet, job, runner, step, stored_records},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, StartCommand, StartResponse},
        records::StoreRecord,
        runners::{DEFAULT_MAX_LEASE, HoldResponse, lapse_delay, max_lapse_delay},
    },
    instance::Instance,
};

pub const IDS: [&str; 2] = ["r1", "r2"];
/// How long an owner that is cut off still sends commands: its own lease.
const OWNER_LEASE: Millis = Millis(1_300);
/// Time between two steps, near the cut and while nothing happens.
const STEP: u64 = 10;
const IDLE_STEP: u64 = 100;
/// Time before and after the cut that is walked through in small steps.
const NEAR_CUT: u64 = 3_000;
const LIST_INTERVAL: u64 = 300;
/// Time after which a call without an answer is given up, beyond the wait of a hold call.
const CALL_TIMEOUT: u64 = 600;
/// Thousandths of a core that a work item needs.
const ITEM_CPU: u32 = 500;
/// Time that the successor also waits for calls that arrive late.
const STRAY_TIME: Millis = Millis(3_000);

/// A crash of a runner: when, in milliseconds after the cut, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub runner: usize,
    pub after_cut: i64,
    pub down: u64,
}

/// What is drawn for one walk.
#[derive(Clone, Debug)]
pub struct Walk {
    pub idle: u64,
    pub clock_percent: u64,
    /// What the clocks of the first and of later instances show at their start, in milliseconds.
    pub clock_starts: (u64, u64),
    pub crashes: Vec<Crash>,
    /// When jobs are submitted, in milliseconds after the cut, and their numbers of work items.
    pub jobs: Vec<(i64, u32)>,
    /// Time of each call to its runner and of its answer back, used by turns.
    pub delays: Vec<u64>,
    /// One in this many answers to starts and stops is lost.
    pub loses_one_in: usize,
}

enum Answer {
    Hold(HoldResponse),
    Start(StartResponse),
    Stop(u64),
}

/// A command on its way to a runner, or its answer on the way back.
struct Call {
    command: OwnerCommand,
    runner: usize,
    sent: LocalTime,
    arrives: LocalTime,
    /// Until when the runner delays the answer to a hold call.
    answers: LocalTime,
    /// The answer, and the instance that has given it.
    answer: Option<(Answer, u64)>,
    is_lost: bool,
}

/// An owner, the runners that are cut off with it, and the calls between them.
pub struct World {
    fleet: TestFleet,
    walk: Walk,
    cut: LocalTime,
    instances: Vec<Option<Instance>>,
    calls: Vec<Call>,
    /// Every start that the owner has sent; a stop names one of them.
    starts: Vec<StartCommand>,
    sent_calls: usize,
    listed_at: LocalTime,
    stored: Vec<StoreRecord>,
}

impl World {
    pub fn new(walk: Walk) -> Self {
        let fleet = TestFleet::new(1, &IDS);
        let cut = fleet.now + Millis(walk.idle + NEAR_CUT);
        let begun = fleet.now;
        let mut world = Self {
            listed_at: fleet.now,
            fleet,
            walk,
            cut,
            instances: Vec::new(),
            calls: Vec::new(),
            starts: Vec::new(),
            sent_calls: 0,
            stored: Vec::new(),
        };
        for _ in IDS {
            let instance = world.instance(1, begun);
            world.instances.push(Some(instance));
        }
        world
    }

    fn instance(&self, number: u64, begun: LocalTime) -> Instance {
        let (first, later) = self.walk.clock_starts;
        Instance {
            number,
            begun,
            clock_start: if number == 1 { first } else { later },
            clock_percent: self.walk.clock_percent,
            deadline: 0,
            runs: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Returns when a time after the cut is.
    fn after_cut(&self, millis: i64) -> LocalTime {
        LocalTime(self.cut.0.saturating_add_signed(millis))
    }

    /// Walks until a successor begins to wait for the leases.
    pub fn run(&mut self) {
        let end = self.cut + OWNER_LEASE;
        let mut jobs = std::mem::take(&mut self.walk.jobs);
        while self.fleet.now < end {
            let is_near = self.fleet.now + Millis(NEAR_CUT) >= self.cut;
            let millis = if is_near { STEP } else { IDLE_STEP };
            for (index, (after_cut, count)) in jobs.iter_mut().enumerate() {
                if *count > 0 && self.after_cut(*after_cut) <= self.fleet.now {
                    let count = std::mem::take(count);
                    self.fleet
                        .submit(index as u64 + 1, job(vec![step(count, ITEM_CPU)]));
                }
            }
            self.fleet.advance(millis);
            self.pass_step();
            self.send_commands();
        }
    }

    /// Lets time pass at the runners, until all leases that a successor counts on have ended.
    pub fn wait(&mut self, until: LocalTime) {
        while self.fleet.now < until {
            self.fleet.now = self.fleet.now + Millis(STEP);
            self.pass_step();
        }
    }

    fn pass_step(&mut self) {
        let now = self.fleet.now;
        self.crash_and_restart();
        for instance in self.instances.iter_mut().flatten() {
            instance.pass_time(now);
        }
        if now < self.cut {
            self.store_and_list();
        }
        for mut call in std::mem::take(&mut self.calls) {
            if self.pass_call(&mut call) {
                self.calls.push(call);
            }
        }
    }

    fn crash_and_restart(&mut self) {
        let now = self.fleet.now;
        for crash in self.walk.crashes.clone() {
            let crashed = self.after_cut(crash.after_cut);
            let back = crashed + Millis(crash.down);
            let known = self.instances[crash.runner].as_ref();
            let begun = known.map(|instance| instance.begun);
            if now >= crashed && now < back {
                self.instances[crash.runner] = None;
            } else if now >= back && begun.is_none_or(|begun| begun < crashed) {
                // Numbers are the times of the starts, and the first instances have 1.
                self.instances[crash.runner] = Some(self.instance(now.0, now));
            }
        }
    }

    fn store_and_list(&mut self) {
        let now = self.fleet.now;
        let batches = self.fleet.store();
        self.stored.extend(stored_records(&batches));
        if now.since(self.listed_at).0 < LIST_INTERVAL {
            return;
        }
        self.listed_at = now;
        for (id, instance) in IDS.iter().zip(&self.instances) {
            if let Some(instance) = instance {
                let listed = &mut self.fleet.runners;
                listed.retain(|report| report.id != **id);
                let mut report = runner(id);
                report.started_ms = instance.number;
                listed.push(report);
            }
        }
        self.fleet.list_runners();
    }

    fn send_commands(&mut self) {
        let now = self.fleet.now;
        for command in std::mem::take(&mut self.fleet.commands) {
            let (key, wait) = match &command {
                OwnerCommand::Hold { runner, wait, .. } => (*runner, *wait),
                OwnerCommand::Start(start) => (start.runner, Millis(0)),
                OwnerCommand::Stop(stop) => (stop.runner, Millis(0)),
                _ => continue,
            };
            if let OwnerCommand::Start(start) = &command {
                self.starts.push(start.clone());
            }
            let Some((id, _)) = self.fleet.owner.runner_address(key) else {
                continue;
            };
            let runner = IDS.iter().position(|other| *other == id).expect("an id");
            self.sent_calls += 1;
            let delay = self.walk.delays[self.sent_calls % self.walk.delays.len()];
            let arrives = now + Millis(delay);
            let is_hold = matches!(command, OwnerCommand::Hold { .. });
            self.calls.push(Call {
                command,
                runner,
                sent: now,
                arrives,
                answers: arrives + wait,
                answer: None,
                is_lost: !is_hold && self.sent_calls.is_multiple_of(self.walk.loses_one_in),
            });
        }
    }

    /// Passes a call on. Returns whether it is still on its way.
    fn pass_call(&mut self, call: &mut Call) -> bool {
        let now = self.fleet.now;
        if call.answer.is_none() && now >= call.arrives {
            // A hold call is executed when it arrives, and its list is made when it is answered.
            call.answer = self.execute(call);
            if call.answer.is_none() {
                call.is_lost = true;
            }
        }
        let back = call.answers + call.arrives.since(call.sent);
        if call.is_lost {
            let given_up = now >= call.answers + Millis(CALL_TIMEOUT);
            if given_up {
                self.deliver(call, None);
            }
            return !given_up;
        }
        if now < back {
            return true;
        }
        let Some((answer, number)) = call.answer.take() else {
            return true;
        };
        let current = self.instances[call.runner].as_mut();
        let same = current.filter(|instance| instance.number == number);
        let is_hold = matches!(answer, Answer::Hold(_));
        let answer = match same {
            Some(instance) if is_hold => Answer::Hold(instance.hold(None, now)),
            None if is_hold => {
                call.is_lost = true;
                return true;
            }
            _ => answer,
        };
        self.deliver(call, Some(answer));
        false
    }

    fn execute(&mut self, call: &Call) -> Option<(Answer, u64)> {
        let now = self.fleet.now;
        let instance = self.instances[call.runner].as_mut()?;
        let answer = match &call.command {
            OwnerCommand::Hold { deadline_ms, .. } => {
                Answer::Hold(instance.hold(*deadline_ms, now))
            }
            OwnerCommand::Start(start) => Answer::Start(instance.start(start, now)),
            OwnerCommand::Stop(stop) => {
                let is_same =
                    |start: &&StartCommand| start.name == stop.name && start.run == stop.run;
                let start = self.starts.iter().find(is_same).expect("a start");
                instance.stop(start, now);
                Answer::Stop(instance.clock(now))
            }
            _ => return None,
        };
        Some((answer, instance.number))
    }

    /// The sender of a start stops the run, whether there is an owner or not.
    fn guard(&mut self, runner: usize, start: &StartCommand, answer: &Option<Answer>) {
        let is_stopped = match answer {
            Some(Answer::Start(response)) => response.is_overlong(start.deadline_ms),
            _ => true,
        };
        let now = self.fleet.now;
        if let Some(instance) = self.instances[runner].as_mut().filter(|_| is_stopped) {
            instance.stop(start, now);
        }
    }

    fn deliver(&mut self, call: &Call, answer: Option<Answer>) {
        let now = self.fleet.now;
        if let OwnerCommand::Start(start) = &call.command {
            self.guard(call.runner, start, &answer);
        }
        if now >= self.cut + OWNER_LEASE {
            return;
        }
        let owner = &mut self.fleet.owner;
        match (&call.command, answer) {
            (
                OwnerCommand::Hold {
                    runner, last_seen, ..
                },
                Some(Answer::Hold(lists)),
            ) => {
                owner.hold_answered(*runner, call.sent, *last_seen, lists, now);
            }
            (OwnerCommand::Hold { runner, .. }, _) => owner.hold_missed(*runner, now),
            (OwnerCommand::Start(start), Some(Answer::Start(response))) => {
                owner.start_answered(start, response, now);
            }
            (OwnerCommand::Start(start), _) => {
                owner.start_answered(start, StartResponse::Unknown, now);
            }
            (OwnerCommand::Stop(stop), Some(Answer::Stop(clock))) => {
                owner.stop_answered(stop, Some(clock), now);
            }
            _ => {}
        }
    }

    /// Returns until when a successor waits that cannot reach the runner.
    pub fn successor_waits(&self, id: &str) -> LocalTime {
        let elected = self.cut + OWNER_LEASE;
        let is_stored = |record: &StoreRecord| matches!(record, StoreRecord::Restarted(_, restart) if restart.runner == id);
        if self.stored.iter().any(is_stored) {
            elected + STRAY_TIME + lapse_delay(DEFAULT_MAX_LEASE)
        } else {
            elected + max_lapse_delay()
        }
    }

    pub fn running(&self, runner: usize) -> usize {
        let instance = self.instances[runner].as_ref();
        instance.map_or(0, |instance| instance.runs.len())
    }
}
