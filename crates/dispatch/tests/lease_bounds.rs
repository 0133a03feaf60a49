//! Guards against work that runs twice because a runner keeps its work for longer than a successor of the owner waits: random
//! idle times, slow clocks, restarts, lost answers and moments at which the owner is cut off together with its runners.

mod fleet;

use {
    fleet::{TestFleet, empty_response, job, listed_run, runner, stored_records},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, StartCommand, StartResponse},
        records::StoreRecord,
        runners::{DEFAULT_MAX_LEASE, HoldResponse, lapse_delay, max_lapse_delay},
    },
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, Strategy, proptest},
        sample::select,
        test_runner::RngSeed,
    },
};

const SEED: u64 = 51;
const CASES: u32 = 400;
const IDS: [&str; 2] = ["r1", "r2"];
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
/// How long a runner needs for a stop.
const STOP_TIME: Millis = Millis(200);
/// Time that the successor also waits for calls that arrive late.
const STRAY_TIME: Millis = Millis(3_000);

/// A crash of a runner: when, in milliseconds after the cut, and for how long.
#[derive(Clone, Copy, Debug)]
struct Crash {
    runner: usize,
    after_cut: i64,
    down: u64,
}

/// What is drawn for one walk.
#[derive(Clone, Debug)]
struct Walk {
    idle: u64,
    clock_percent: u64,
    /// What the clocks of the first and of later instances show at their start, in milliseconds.
    clock_starts: (u64, u64),
    crashes: Vec<Crash>,
    /// When jobs are submitted, in milliseconds after the cut, and their numbers of work items.
    jobs: Vec<(i64, u32)>,
    /// Time of each call to its runner and of its answer back, used by turns.
    delays: Vec<u64>,
    /// One in this many answers to starts and stops is lost.
    loses_one_in: usize,
}

fn walks() -> impl Strategy<Value = Walk> {
    let crash = (0..IDS.len(), -1_500..1_300_i64, 20..1_500_u64);
    let crash = crash.prop_map(|(runner, after_cut, down)| Crash {
        runner,
        after_cut,
        down,
    });
    let clock_starts = (0..5_000_000_u64, 0..5_000_000_u64);
    (
        select(vec![0, 2_000, 20_000, 97_000, 300_000]),
        98..=100_u64,
        clock_starts,
        vec(crash, 0..3),
        vec((-1_500..1_300_i64, 1..6_u32), 1..8),
        vec(1..60_u64, 1..6),
        select(vec![4, 20, 1_000]),
    )
        .prop_map(
            |(idle, clock_percent, clock_starts, crashes, jobs, delays, loses_one_in)| Walk {
                idle,
                clock_percent,
                clock_starts,
                crashes,
                jobs,
                delays,
                loses_one_in,
            },
        )
}

struct Run {
    start: StartCommand,
    stop_at: Option<LocalTime>,
}

/// One instance of a runner.
struct Instance {
    number: u64,
    begun: LocalTime,
    clock_start: u64,
    clock_percent: u64,
    /// End of the lease on its clock.
    deadline: u64,
    runs: Vec<Run>,
    /// Runs that must not begin any more.
    refused: Vec<StartCommand>,
}

impl Instance {
    fn clock(&self, now: LocalTime) -> u64 {
        self.clock_start + now.since(self.begun).0 * self.clock_percent / 100
    }

    fn extend(&mut self, deadline: u64, now: LocalTime) {
        let longest = self.clock(now) + DEFAULT_MAX_LEASE.0;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    fn pass_time(&mut self, now: LocalTime) {
        if self.clock(now) > self.deadline {
            self.runs.clear();
        }
        let goes_on = |run: &Run| run.stop_at.is_none_or(|at| now < at);
        self.runs.retain(goes_on);
    }

    fn start(&mut self, start: &StartCommand, now: LocalTime) -> StartResponse {
        let clock = self.clock(now);
        if start.deadline_ms <= clock {
            return StartResponse::Late(clock);
        }
        self.extend(start.deadline_ms, now);
        let is_same = |other: &StartCommand| other.name == start.name && other.run == start.run;
        if self.refused.iter().any(is_same) {
            return StartResponse::OldRun;
        }
        self.runs.push(Run {
            start: start.clone(),
            stop_at: None,
        });
        StartResponse::Begun(clock)
    }

    fn stop(&mut self, start: &StartCommand, now: LocalTime) {
        self.refused.push(start.clone());
        let is_same = |run: &&mut Run| run.start.name == start.name && run.start.run == start.run;
        if let Some(run) = self.runs.iter_mut().find(is_same) {
            run.stop_at.get_or_insert(now + STOP_TIME);
        }
    }

    fn hold(&mut self, deadline_ms: Option<u64>, now: LocalTime) -> HoldResponse {
        if let Some(deadline_ms) = deadline_ms {
            self.extend(deadline_ms, now);
        }
        let running = self.runs.iter().map(|run| listed_run(&run.start));
        HoldResponse {
            started_ms: Some(self.number),
            running: running.collect(),
            ..empty_response(self.clock(now))
        }
    }
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
struct World {
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
    fn new(walk: Walk) -> Self {
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
    fn run(&mut self) {
        let end = self.cut + OWNER_LEASE;
        let mut jobs = std::mem::take(&mut self.walk.jobs);
        while self.fleet.now < end {
            let is_near = self.fleet.now + Millis(NEAR_CUT) >= self.cut;
            let step = if is_near { STEP } else { IDLE_STEP };
            for (index, (after_cut, count)) in jobs.iter_mut().enumerate() {
                if *count > 0 && self.after_cut(*after_cut) <= self.fleet.now {
                    let count = std::mem::take(count);
                    self.fleet
                        .submit(index as u64 + 1, job(vec![fleet::step(count, 500)]));
                }
            }
            self.fleet.advance(step);
            self.pass_step();
            self.send_commands();
        }
    }

    /// Lets time pass at the runners, until all leases that a successor counts on have ended.
    fn wait(&mut self, until: LocalTime) {
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
    fn successor_waits(&self, id: &str) -> LocalTime {
        let elected = self.cut + OWNER_LEASE;
        let is_stored = |record: &StoreRecord| matches!(record, StoreRecord::Restarted(_, restart) if restart.runner == id);
        if self.stored.iter().any(is_stored) {
            elected + STRAY_TIME + lapse_delay(DEFAULT_MAX_LEASE)
        } else {
            elected + max_lapse_delay()
        }
    }

    fn running(&self, runner: usize) -> usize {
        let instance = self.instances[runner].as_ref();
        instance.map_or(0, |instance| instance.runs.len())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    /// Guards against a run that goes on when a successor that cannot reach its runner starts the work again.
    #[test]
    fn nothing_outlasts_wait(walk in walks()) {
        let mut world = World::new(walk.clone());
        world.run();
        for (runner, id) in IDS.iter().enumerate() {
            world.wait(world.successor_waits(id));
            let count = world.running(runner);
            assert_eq!(count, 0, "{count} runs go on at {id}: {walk:?}");
        }
    }
}
