//! Guards against waves that take long-running work out of service: it may be stopped only when another host has room for
//! it until it is there, and a host that cannot be emptied must stay in use.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty_response, ended_run, host, job, listed_run, runner, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, StepSpec},
        owner::{JobCall, OwnerCommand, StartCommand, WaveRequest},
        runners::{EndKind, EndedRun, RunnerKey, RunnerReport},
    },
};

/// A fleet whose runners list what they were told to start and have not been told to stop.
struct ServingFleet {
    fleet: TestFleet,
    running: Vec<StartCommand>,
    ended: Vec<(RunnerKey, EndedRun)>,
    silent: Option<RunnerKey>,
}

impl ServingFleet {
    fn new(reports: Vec<RunnerReport>) -> Self {
        let mut fleet = TestFleet::new(1, &[]);
        let hosts = reports.iter().map(|report| {
            let name = report.id.replace('r', "h");
            host(&name, POOL, Some(&report.id))
        });
        let hosts = hosts.collect();
        fleet.runners = reports;
        fleet.list_runners();
        fleet.list_hosts(hosts);
        fleet.answer_first_holds();
        Self {
            fleet,
            running: Vec::new(),
            ended: Vec::new(),
            silent: None,
        }
    }

    /// Submits a job and lets all of its work items start that can; returns the starts.
    fn start(&mut self, id: u64, steps: Vec<StepSpec>) -> Vec<StartCommand> {
        let starts = self.fleet.start_work(id, steps);
        self.running.extend(starts.clone());
        starts
    }

    fn request_wave(&mut self, hosts: &[&str]) {
        let request = WaveRequest {
            number: 1,
            hosts: hosts.iter().map(|host| (*host).to_owned()).collect(),
            duration: Millis(60_000),
            cap: 2,
        };
        self.fleet.owner.wave_requested(request, self.fleet.now);
    }

    /// Lets some time pass in which the runners answer hold calls, unless they are `silent`, and carry out starts, and stops
    /// if `stops`.
    fn pass_time(&mut self, rounds: u32, stops: bool) {
        for _ in 0..rounds {
            self.fleet.advance(50);
            let clock = self.fleet.clock();
            let (running, ended) = (&self.running, &self.ended);
            let silent = self.silent;
            self.fleet.answer_holds(|runner| {
                if silent == Some(runner) {
                    return None;
                }
                let mut response = empty_response(clock);
                let here = running.iter().filter(|start| start.runner == runner);
                response.running = here.map(listed_run).collect();
                let here = ended.iter().filter(|(at, _)| *at == runner);
                response.ended = here.map(|(_, end)| end.clone()).collect();
                Some(response)
            });
            self.fleet.store();
            let starts = self.fleet.starts();
            self.fleet.accept_starts(&starts);
            self.running.extend(starts);
            if stops {
                self.carry_out_stops();
            }
        }
    }

    fn carry_out_stops(&mut self) {
        for stop in self.stops() {
            let is_same = |start: &StartCommand| start.name == stop.0 && start.run == stop.1;
            let Some(index) = self.running.iter().position(is_same) else {
                continue;
            };
            let start = self.running.remove(index);
            let number = self.ended.len() as u64 + 1;
            let end = ended_run(number, &start, EndKind::Stopped);
            self.ended.push((start.runner, end));
        }
    }

    /// Returns the work item and run of each stop so far.
    fn stops(&self) -> Vec<(ItemName, u32)> {
        let stop = |command: &OwnerCommand| match command {
            OwnerCommand::Stop(stop) => Some((stop.name, stop.run)),
            _ => None,
        };
        self.fleet.commands.iter().filter_map(stop).collect()
    }

    fn id_of(&self, runner: RunnerKey) -> &str {
        self.fleet
            .owner
            .runner_address(runner)
            .map_or("", |(id, _)| id)
    }

    fn hosts_of(&self, starts: &[StartCommand]) -> Vec<String> {
        let host = |start: &StartCommand| self.id_of(start.runner).replace('r', "h");
        starts.iter().map(host).collect()
    }

    /// Returns the runners on which a job runs, sorted.
    fn runners_of(&self, id: u64) -> Vec<&str> {
        let runs = self
            .running
            .iter()
            .filter(|start| start.name.job == JobId(id));
        let mut runners: Vec<&str> = runs.map(|start| self.id_of(start.runner)).collect();
        runners.sort_unstable();
        runners
    }
}

/// Long-running work; a runner has 16,000 MB.
fn serving(count: u32, mem_mb: u32) -> StepSpec {
    StepSpec {
        mem_mb,
        long_running: true,
        ..step(count, 100)
    }
}

fn spread(count: u32, mem_mb: u32) -> StepSpec {
    StepSpec {
        anti_affinity: 1,
        ..serving(count, mem_mb)
    }
}

fn runners(ids: &[&str]) -> Vec<RunnerReport> {
    ids.iter().map(|id| runner(id)).collect()
}

/// Guards against a stop of work on a host whose other work has no place: the host would not become empty by it.
#[test]
fn host_that_cannot_be_emptied() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2", "r3"]));
    assert_eq!(serving_fleet.start(1, vec![spread(3, 6_000)]).len(), 3);
    let singles = serving_fleet.start(2, vec![spread(2, 8_500)]);
    let hosts = serving_fleet.hosts_of(&singles);
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    serving_fleet.request_wave(&hosts);
    serving_fleet.pass_time(40, true);
    assert_eq!(
        serving_fleet.stops(),
        [],
        "work was stopped that cannot all leave"
    );
    // Its free capacity stays in use.
    assert_eq!(serving_fleet.start(3, vec![spread(3, 1_000)]).len(), 3);
}

/// Guards against work of two hosts that is stopped for the same room.
#[test]
fn room_for_one() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2", "r3"]));
    serving_fleet.start(1, vec![spread(2, 9_000)]);
    let hosts = serving_fleet.hosts_of(&serving_fleet.running);
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    serving_fleet.request_wave(&hosts);
    serving_fleet.pass_time(4, false);
    assert_eq!(serving_fleet.stops().len(), 1);
}

/// Guards against other work that takes the room of stopped work before it can start there.
#[test]
fn room_is_kept() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2"]));
    let starts = serving_fleet.start(1, vec![serving(1, 9_000)]);
    let host = serving_fleet.hosts_of(&starts).remove(0);
    serving_fleet.request_wave(&[&host]);
    serving_fleet.pass_time(4, false);
    assert_eq!(serving_fleet.stops().len(), 1);
    let large = StepSpec {
        mem_mb: 8_000,
        ..step(2, 100)
    };
    serving_fleet.fleet.submit(2, job(vec![large]));
    serving_fleet.fleet.store();
    serving_fleet.pass_time(2, false);
    assert_eq!(serving_fleet.runners_of(2), Vec::<&str>::new());
    serving_fleet.pass_time(10, true);
    let here = serving_fleet.id_of(starts[0].runner).to_owned();
    let elsewhere = serving_fleet.runners_of(1);
    assert_eq!(elsewhere.len(), 1);
    assert_ne!(elsewhere[0], here);
}

/// Guards against room that stays reserved for work which is not wanted any more.
#[test]
fn room_is_released() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2"]));
    let starts = serving_fleet.start(1, vec![serving(1, 9_000)]);
    let host = serving_fleet.hosts_of(&starts).remove(0);
    serving_fleet.request_wave(&[&host]);
    serving_fleet.pass_time(4, false);
    let cancel = JobCall::Cancel(JobId(1));
    serving_fleet.fleet.call(9, cancel);
    serving_fleet.pass_time(10, true);
    assert_eq!(serving_fleet.start(2, vec![serving(1, 15_000)]).len(), 1);
}

/// Guards against a host that is kept free for its maintenance while long-running work has no other place.
#[test]
fn waiting_work_first() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2"]));
    serving_fleet.start(1, vec![spread(2, 9_000)]);
    // Fits nowhere now, so that it waits.
    assert_eq!(serving_fleet.start(2, vec![serving(1, 12_000)]), []);
    let cancel = JobCall::Cancel(JobId(1));
    serving_fleet.fleet.call(9, cancel);
    serving_fleet.request_wave(&["h1", "h2"]);
    serving_fleet.pass_time(20, true);
    assert_eq!(
        serving_fleet.runners_of(2).len(),
        1,
        "the work waits for its only places"
    );
}

/// Guards against a stop of work that no other runner may run, although another one has room.
#[test]
fn label_of_one_runner() {
    let mut reports = runners(&["r1", "r2"]);
    reports[0].labels = vec!["fast".to_owned()];
    let mut serving_fleet = ServingFleet::new(reports);
    let labelled = StepSpec {
        required_label: Some("fast".to_owned()),
        ..serving(1, 1_000)
    };
    assert_eq!(serving_fleet.start(1, vec![labelled]).len(), 1);
    serving_fleet.request_wave(&["h1"]);
    serving_fleet.pass_time(20, true);
    assert_eq!(serving_fleet.stops(), []);
}

/// Guards against stopped work without a place when the runner that was to take it falls silent: room is reserved on another
/// one.
#[test]
fn silent_target() {
    let mut serving_fleet = ServingFleet::new(runners(&["r1", "r2", "r3"]));
    // All runners have work, so that each answers hold calls.
    let others = serving_fleet.start(1, vec![spread(3, 1_000)]);
    let single = serving_fleet.start(2, vec![serving(1, 9_000)]).remove(0);
    let host = serving_fleet
        .hosts_of(std::slice::from_ref(&single))
        .remove(0);
    serving_fleet.fleet.call(8, JobCall::Cancel(JobId(1)));
    serving_fleet.fleet.commands.clear();
    serving_fleet.request_wave(&[&host]);
    serving_fleet.pass_time(2, false);
    // The work goes to the fullest of the other runners, both of which have the same load.
    serving_fleet.silent = others
        .iter()
        .map(|start| start.runner)
        .find(|runner| *runner != single.runner);
    serving_fleet.pass_time(4, false);
    let large = StepSpec {
        mem_mb: 8_000,
        ..step(1, 100)
    };
    serving_fleet.fleet.submit(3, job(vec![large]));
    serving_fleet.fleet.store();
    serving_fleet.pass_time(1, false);
    assert_eq!(
        serving_fleet.runners_of(3),
        Vec::<&str>::new(),
        "the reserved room was taken"
    );
}

/// Guards against a host that is emptied for the same wave while work is on its way to it: the work would wait until the
/// maintenance is over.
#[test]
fn target_stays_in_use() {
    let mut reports = runners(&["r1", "r2", "r3"]);
    for (report, labels) in reports
        .iter_mut()
        .zip([&["x"][..], &["x", "y"], &["y", "z"]])
    {
        report.labels = labels.iter().map(|label| (*label).to_owned()).collect();
    }
    let labelled = |count, mem_mb, label: &str| StepSpec {
        required_label: Some(label.to_owned()),
        ..serving(count, mem_mb)
    };
    let mut serving_fleet = ServingFleet::new(reports);
    let single = serving_fleet
        .start(1, vec![labelled(1, 9_000, "x")])
        .remove(0);
    serving_fleet.start(2, vec![labelled(2, 1_000, "y")]);
    serving_fleet.start(3, vec![labelled(1, 8_500, "z")]);
    assert_eq!(serving_fleet.runners_of(1), ["r1"]);
    assert_eq!(serving_fleet.runners_of(2), ["r2", "r2"]);
    serving_fleet.request_wave(&["h1", "h2"]);
    serving_fleet.pass_time(4, false);
    assert_eq!(serving_fleet.stops(), [(single.name, single.run)]);
    serving_fleet.pass_time(8, true);
    assert_eq!(serving_fleet.runners_of(1), ["r2"]);
}
