//! Prints the effect on callers of waiting for capacity near the data, on a load where many jobs want one rack. The owner's
//! state decides in virtual time; runners and the store answer after one tick.

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobSpec, StepSpec},
        owner::{CallId, JobCall, OwnerCommand, OwnerState, StartCommand, StartResponse},
        records::JobSubmission,
        routes::{FleetRules, RouteRule, ServiceRule},
        runners::{
            Capacity, EndKind, EndedRun, HoldResponse, ListedRun, RunnerReport, RunnerStatus,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc},
};

/// Each row has the jobs of all of these.
const SEEDS: [u64; 3] = [42, 43, 44];
const TICK_MS: u64 = 5;
const LOAD_MS: u64 = 40_000;
const END_MS: u64 = 160_000;
/// Length of a period of the demand, and of the burst at its beginning, at five times the mean.
const PERIOD_MS: u64 = 10_000;
const BURST_MS: u64 = 2_000;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct LocalityCase {
    name: &'static str,
    racks: usize,
    runners_per_rack: usize,
    runner_cpu: u32,
    far_percent: u32,
    /// Percent of the work items that take seven times as long.
    slow_percent: u32,
    /// Percent by which estimates are wrong, up or down.
    estimate_error: u32,
    /// Percent of the jobs whose data are in the first rack; a quarter of the others have no data rack.
    hot_percent: u32,
    /// Work items that need gangs in one rack, in percent of the jobs.
    gang_percent: u32,
    /// Mean demand in percent of the fleet's cores, with all work near its data.
    load_percent: u32,
}

struct ActiveRun {
    start: StartCommand,
    begun: u64,
    duration: u64,
}

#[derive(Default)]
struct SimRunner {
    runs: Vec<ActiveRun>,
    ended: Vec<EndedRun>,
    next_number: u64,
}

struct SimJob {
    submitted: u64,
    objective: u64,
    /// Work items that have not ended, and duration near the data of each.
    left: Vec<ItemName>,
    durations: Vec<u64>,
    step: StepSpec,
}

struct LoadedRun {
    case: LocalityCase,
    owner: OwnerState,
    reports: Vec<RunnerReport>,
    runners: Vec<SimRunner>,
    jobs: BTreeMap<u64, SimJob>,
    latencies: Vec<u64>,
    on_time: usize,
    core_ms: u64,
}

fn route() -> RouteRule {
    RouteRule {
        name: "proofs".to_owned(),
        service: "press".to_owned(),
        attempts: 3,
        stretch: 1.6,
        target_latency: Millis(600),
        timeout: Millis(3_000),
        ..RouteRule::default()
    }
}

fn reports(case: &LocalityCase) -> Vec<RunnerReport> {
    let report = |number: usize| {
        let rack = format!("rack{}", number / case.runners_per_rack);
        RunnerReport {
            id: format!("r{number}"),
            started_ms: 1,
            service: "press".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "a".to_owned(),
            labels: vec!["kind".to_owned(), rack.clone()],
            rack: Some(rack),
            capacity: Capacity {
                cpu: case.runner_cpu,
                mem_mb: 1_000_000,
                gpu: 0,
            },
            status: RunnerStatus::Ready,
        }
    };
    (0..case.racks * case.runners_per_rack)
        .map(report)
        .collect()
}

impl LoadedRun {
    fn new(case: LocalityCase, waits: bool) -> Self {
        let rules = FleetRules {
            version: 1,
            routes: vec![route()],
            services: vec![ServiceRule {
                name: "press".to_owned(),
                spare: false,
            }],
            ..FleetRules::default()
        };
        let reports = reports(&case);
        let start = LocalTime(100_000);
        let mut owner = OwnerState::new(1, Arc::new(rules), start);
        owner.set_far_percent(if waits { case.far_percent } else { 100 });
        owner.restore(Vec::new(), start, 0);
        owner.runners_listed(reports.clone(), start);
        Self {
            case,
            owner,
            runners: reports.iter().map(|_| SimRunner::default()).collect(),
            reports,
            jobs: BTreeMap::new(),
            latencies: Vec::new(),
            on_time: 0,
            core_ms: 0,
        }
    }

    /// Draws a job: the same ones with the decision on and off.
    fn submit(&mut self, id: u64, random: &mut StdRng, now: LocalTime) -> u64 {
        let case = self.case;
        let base = random.random_range(500..3_000_u64);
        let is_gang = random.random_range(0..100) < case.gang_percent;
        let count = random.random_range(1..=8_u32);
        let error = random.random_range(0..=case.estimate_error);
        let estimate_percent = if random.random_bool(0.5) {
            100 + error
        } else {
            100 - error
        };
        let is_hot = random.random_range(0..100) < case.hot_percent;
        let rack = random.random_range(0..case.racks);
        let has_rack = random.random_bool(0.75);
        let durations: Vec<u64> = (0..count)
            .map(|_| {
                let is_slow = random.random_range(0..100) < case.slow_percent;
                if is_slow && !is_gang { base * 7 } else { base }
            })
            .collect();
        let data_rack = match (is_gang, is_hot, has_rack) {
            (true, ..) | (_, false, false) => None,
            (_, true, _) => Some("rack0".to_owned()),
            (_, false, true) => Some(format!("rack{rack}")),
        };
        let step = StepSpec {
            count,
            cpu: if is_gang { 8_000 } else { 4_000 },
            mem_mb: 100,
            estimate_ms: (base * u64::from(estimate_percent) / 100) as u32,
            gang: is_gang,
            same_rack: is_gang,
            data_rack,
            ..StepSpec::default()
        };
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step.clone()],
            ..JobSpec::default()
        };
        let objective = 600 + u64::from(step.estimate_ms) * 16 / 10;
        let left = (0..count).map(|index| ItemName {
            job: JobId(id),
            occurrence: 0,
            step: 0,
            index,
        });
        let work = durations.iter().sum::<u64>() * u64::from(step.cpu);
        self.jobs.insert(
            id,
            SimJob {
                submitted: now.0,
                objective,
                left: left.collect(),
                durations,
                step,
            },
        );
        let submission = JobSubmission {
            queue: route(),
            job: spec,
            accepted_ms: 0,
            organisation: None,
        };
        let call = JobCall::Submit(JobId(id), Box::new(submission));
        self.owner.call(CallId(id), call, now);
        work
    }

    fn begin(&mut self, start: StartCommand, now: LocalTime) {
        let Some(job) = self.jobs.get(&start.name.job.0) else {
            return;
        };
        let runner = start.runner.0 as usize;
        let report = &self.reports[runner];
        let is_far = job
            .step
            .data_rack
            .as_ref()
            .is_some_and(|rack| report.rack.as_ref() != Some(rack));
        let near = job.durations[start.name.index as usize];
        let percent = if is_far { self.case.far_percent } else { 100 };
        let response = StartResponse::Begun(now.0);
        self.owner.start_answered(&start, response, now);
        self.runners[runner].runs.push(ActiveRun {
            start,
            begun: now.0,
            duration: near * u64::from(percent) / 100,
        });
    }

    /// Slows down gangs whose members begin on several racks.
    fn slow_gangs(&mut self, starts: &[StartCommand]) {
        let racks: Vec<(u64, Option<String>)> = starts
            .iter()
            .map(|start| {
                let rack = self.reports[start.runner.0 as usize].rack.clone();
                (start.name.job.0, rack)
            })
            .collect();
        for start in starts {
            let id = start.name.job.0;
            let is_gang = self.jobs.get(&id).is_some_and(|job| job.step.gang);
            let mut own = racks.iter().filter(|(job, _)| *job == id);
            let first = own.next();
            if !is_gang || own.all(|other| Some(other) == first) {
                continue;
            }
            let far_percent = u64::from(self.case.far_percent);
            let runs = &mut self.runners[start.runner.0 as usize].runs;
            if let Some(run) = runs.iter_mut().find(|run| run.start.name == start.name) {
                run.duration = run.duration * far_percent / 100;
            }
        }
    }

    fn end_runs(&mut self, now: u64) {
        for runner in &mut self.runners {
            let is_over = |run: &mut ActiveRun| now >= run.begun + run.duration;
            for run in runner.runs.extract_if(.., is_over) {
                runner.next_number += 1;
                runner.ended.push(EndedRun {
                    number: runner.next_number,
                    name: run.start.name,
                    run: run.start.run,
                    kind: EndKind::Done,
                    checkpoint: String::new(),
                });
                let id = run.start.name.job.0;
                let Some(job) = self.jobs.get_mut(&id) else {
                    continue;
                };
                self.core_ms += run.duration * u64::from(job.step.cpu) / 1_000;
                job.left.retain(|name| *name != run.start.name);
                if job.left.is_empty() {
                    let latency = now - job.submitted;
                    self.on_time += usize::from(latency <= job.objective);
                    self.latencies.push(latency);
                    self.jobs.remove(&id);
                }
            }
        }
    }

    fn answer(&mut self, command: OwnerCommand, now: LocalTime) {
        if let OwnerCommand::Hold {
            runner, last_seen, ..
        } = command
        {
            let state = &mut self.runners[runner.0 as usize];
            state.ended.retain(|end| end.number > last_seen);
            let listed = |run: &ActiveRun| ListedRun {
                name: run.start.name,
                run: run.start.run,
                checkpoint: String::new(),
                percent: ((now.0 - run.begun) * 100 / run.duration.max(1)).min(100) as u32,
                load: 0,
            };
            let response = HoldResponse {
                clock_ms: now.0,
                started_ms: Some(1),
                running: state.runs.iter().map(listed).collect(),
                ended: state.ended.clone(),
            };
            self.owner
                .hold_answered(runner, now, last_seen, response, now);
        }
    }

    fn run(&mut self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = LocalTime(100_000);
        let case = self.case;
        let cores = u64::from(case.runner_cpu) * self.reports.len() as u64;
        // Thousandths of a core times milliseconds for each tick at the mean.
        let mean_work = cores * u64::from(case.load_percent) / 100 * TICK_MS;
        let mut credit = 0_i64;
        let mut id = 0;
        for tick in 0..END_MS / TICK_MS {
            now = now + Millis(TICK_MS);
            let elapsed = tick * TICK_MS;
            let is_burst = elapsed % PERIOD_MS < BURST_MS;
            if elapsed < LOAD_MS {
                let factor = if is_burst { 500 } else { 5 };
                credit += (mean_work * factor / 100) as i64;
            }
            while credit > 0 {
                id += 1;
                credit -= self.submit(id, &mut random, now) as i64;
            }
            self.end_runs(now.0);
            while let Some(batch) = self.owner.take_batch() {
                self.owner.batch_stored(batch.id, now);
            }
            self.owner.tick(now, 0);
            self.owner.take_events();
            let mut starts = Vec::new();
            for command in self.owner.take_commands() {
                match command {
                    OwnerCommand::Start(start) => starts.push(start),
                    command => self.answer(command, now),
                }
            }
            for start in &starts {
                self.begin(start.clone(), now);
            }
            self.slow_gangs(&starts);
            if elapsed > LOAD_MS && self.jobs.is_empty() {
                break;
            }
        }
    }
}

fn print_row(case: LocalityCase, waits: bool) {
    let mut latencies = Vec::new();
    let (mut left, mut on_time, mut core_ms) = (0, 0, 0);
    let mut results = [0; 3];
    for seed in SEEDS {
        let mut run = LoadedRun::new(case, waits);
        run.run(seed);
        left += run.jobs.len();
        on_time += run.on_time;
        core_ms += run.core_ms;
        latencies.append(&mut run.latencies);
        let counts = run.owner.wait_counts();
        let counted = [counts.begun, counts.paid, counts.unpaid];
        for (sum, count) in results.iter_mut().zip(counted) {
            *sum += count;
        }
    }
    latencies.sort_unstable();
    let ended = latencies.len();
    let at = |percent: usize| latencies[(ended - 1) * percent / 100];
    println!(
        "| {} | {} | {ended} | {left} | {} | {} | {:.1}% | {} | {}/{}/{} |",
        case.name,
        if waits { "on" } else { "off" },
        at(50),
        at(95),
        100.0 * on_time as f64 / (ended + left) as f64,
        core_ms / 1_000,
        results[0],
        results[1],
        results[2],
    );
}

fn main() {
    let first = LocalityCase {
        name: "64 cores, 8 a rack, factor 3, mean load 15%",
        racks: 5,
        runners_per_rack: 8,
        runner_cpu: 64_000,
        far_percent: 300,
        slow_percent: 0,
        estimate_error: 20,
        hot_percent: 50,
        gang_percent: 0,
        load_percent: 15,
    };
    let second = LocalityCase {
        name: "32 cores, 20 a rack, factor 1.5, mean load 20%",
        racks: 4,
        runners_per_rack: 20,
        runner_cpu: 32_000,
        far_percent: 150,
        slow_percent: 3,
        estimate_error: 50,
        load_percent: 20,
        ..first
    };
    let cases = [
        first,
        LocalityCase {
            name: "the same, mean load 30%",
            load_percent: 30,
            ..first
        },
        LocalityCase {
            name: "the same, mean load 15%, a third of the jobs gangs",
            gang_percent: 33,
            ..first
        },
        second,
        LocalityCase {
            name: "the same, mean load 40%",
            load_percent: 40,
            ..second
        },
        LocalityCase {
            name: "the same, mean load 20%, a third of the jobs gangs",
            gang_percent: 33,
            ..second
        },
    ];
    println!(
        "| fleet and load | waiting | jobs ended | left | p50 ms | p95 ms | on time | core-s | waits begun/paid/unpaid |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for case in cases {
        for waits in [false, true] {
            print_row(case, waits);
        }
    }
}
