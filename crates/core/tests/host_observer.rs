//! Guards against hosts that are reported down after one bad list, or drained while they have work.

mod fleet_model;

use {
    fleet_model::{SmallFleet, host},
    goldcreststall_core::{
        ids::{Incarnation, LocalTime, LogTime, Millis},
        membership::MembershipRecord as Record,
        observation::{HostObserver, IDLE_LIMIT, ListedHost, MISSING_LIMIT, ObservationInput},
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::collections::BTreeMap,
};

const POOLS: &str =
    "[[pools]]\nname = \"a\"\nmin_available = 0\n[[pools]]\nname = \"b\"\nmin_available = 0\n";
const TICK: Millis = Millis(500);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

/// A fleet with an observer whose lists are written by hand.
struct ObservedFleet {
    busy: Vec<&'static str>,
    fleet: SmallFleet,
    list_time: LogTime,
    listed: BTreeMap<&'static str, u64>,
    local_time: LocalTime,
    observer: HostObserver,
}

impl ObservedFleet {
    fn new() -> Self {
        let mut fleet = SmallFleet::new(POOLS);
        fleet.add_hosts("h", HOSTS.len(), "a");
        Self {
            busy: Vec::new(),
            list_time: fleet.now,
            fleet,
            listed: HOSTS.map(|name| (name, 1)).into(),
            local_time: LocalTime::default(),
            observer: HostObserver::default(),
        }
    }

    /// Lets time pass, observes the list and returns the records without folding them.
    fn observe(&mut self, time: Millis) -> Vec<Record> {
        self.fleet.now = self.fleet.now + time;
        self.list_time = self.list_time + time;
        self.local_time = self.local_time + time;
        let list = self.listed.iter().map(|(name, incarnation)| ListedHost {
            name: host(name),
            incarnation: Incarnation(*incarnation),
        });
        let list: Vec<ListedHost> = list.collect();
        self.observer.observe(&ObservationInput {
            idle: &|name| !self.busy.iter().any(|busy| host(busy) == *name),
            list: &list,
            list_time: self.list_time,
            local_time: self.local_time,
            membership: &self.fleet.state.membership,
        })
    }

    /// Observes the list and folds the records, all of which the fold has to accept.
    fn step(&mut self, time: Millis) -> Vec<Record> {
        let records = self.observe(time);
        for record in records.clone() {
            assert_eq!(self.fleet.apply(record.clone()), Ok(()), "{record:?}");
        }
        records
    }

    fn drained(&self, name: &str) -> Record {
        let (host, seen) = self.fleet.seen(name);
        Record::StopDrained { host, seen }
    }

    fn down(&self, name: &str) -> Record {
        let (host, seen) = self.fleet.seen(name);
        Record::HostDown { host, seen }
    }

    fn up(&self, name: &str, incarnation: u64) -> Record {
        let (host, seen) = self.fleet.seen(name);
        let incarnation = Incarnation(incarnation);
        Record::HostUp {
            host,
            incarnation,
            seen,
        }
    }
}

fn just_below(limit: Millis) -> Millis {
    Millis(limit.0 - 1)
}

/// A host that one list lacks is not reported down, nor is one that every second list lacks.
#[test]
fn one_gap() {
    let mut fleet = ObservedFleet::new();
    for _ in 0..8 {
        fleet.listed.remove("h0");
        assert_eq!(fleet.observe(Millis(2_000)), []);
        fleet.listed.insert("h0", 1);
        assert_eq!(fleet.observe(Millis(2_000)), []);
    }
}

/// A host is reported down when the lists lacked it for 3 s, no earlier and only once.
#[test]
fn missing_host() {
    let mut fleet = ObservedFleet::new();
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(MISSING_LIMIT)), []);
    let down = fleet.down("h0");
    assert_eq!(fleet.step(Millis(1)), [down]);
    assert_eq!(fleet.observe(TICK), []);
}

/// A drained host that reboots is expected to be away, so that its reboot is no failure.
#[test]
fn reboot_gap() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    fleet.fleet.drained("h0").unwrap();
    fleet.listed.remove("h0");
    for _ in 0..20 {
        assert_eq!(fleet.observe(TICK), []);
    }
}

/// A newer run is reported up, both of a serving host and of one that was rebooted.
#[test]
fn newer_run() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h1", None).unwrap();
    fleet.fleet.drained("h1").unwrap();
    fleet.listed.insert("h0", 2);
    fleet.listed.insert("h1", 2);
    let up = [fleet.up("h0", 2), fleet.up("h1", 2)];
    assert_eq!(fleet.step(TICK), up);
    assert!(fleet.fleet.host("h1").is_available());
    assert_eq!(fleet.observe(TICK), []);
}

/// A host is reported drained after 1.5 s of idleness, and no earlier.
#[test]
fn idle_host() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_LIMIT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// Work in between starts the 1.5 s anew.
#[test]
fn busy_again() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    fleet.busy.push("h0");
    assert_eq!(fleet.observe(TICK), []);
    fleet.busy.clear();
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_LIMIT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// A host that was not listed in between may have had work, so the 1.5 s start anew.
#[test]
fn unseen_host() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(TICK), []);
    fleet.listed.insert("h0", 1);
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_LIMIT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// The idleness of an earlier drain does not count for a later one that starts before the next list.
#[test]
fn second_drain() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.start_move("h0", "b").unwrap();
    assert_eq!(fleet.observe(TICK), []);
    let (host, seen) = fleet.fleet.seen("h0");
    let cancel = Record::MoveCancel { host, seen };
    fleet.fleet.apply(cancel).unwrap();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(IDLE_LIMIT), []);
    assert_eq!(fleet.observe(IDLE_LIMIT), [fleet.drained("h0")]);
}

/// The old run that is still listed after the drain ends no stop, not even one that is overdue.
#[test]
fn old_run() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    fleet.fleet.drained("h0").unwrap();
    assert_eq!(fleet.observe(TICK), []);
    fleet.fleet.now = fleet.fleet.now + Millis(24 * 60 * 60 * 1000);
    fleet.fleet.down("h0").unwrap();
    assert_eq!(fleet.observe(TICK), []);
    assert!(fleet.fleet.host("h0").stop().is_some());
}

/// A list that still shows the run before the one that failed says nothing about the work of the host.
#[test]
fn earlier_run() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.up("h0", true).unwrap();
    fleet.fleet.stop("h0", None).unwrap();
    fleet.fleet.down("h0").unwrap();
    for _ in 0..8 {
        assert_eq!(fleet.observe(TICK), []);
    }
}

/// A draining host that went missing and is back under the same run is up and goes on with its drain;
/// otherwise its stop would never end.
#[test]
fn back_while_draining() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    fleet.listed.remove("h0");
    fleet.step(TICK);
    let down = fleet.down("h0");
    assert_eq!(fleet.step(MISSING_LIMIT), [down]);
    fleet.listed.insert("h0", 1);
    let up = fleet.up("h0", 1);
    assert_eq!(fleet.step(TICK), [up]);
    assert_eq!(fleet.step(TICK), []);
    let drained = fleet.drained("h0");
    assert_eq!(fleet.step(IDLE_LIMIT), [drained]);
}

/// An old list that arrives late neither shortens the 3 s nor reports a host down by itself.
#[test]
fn list_back() {
    let mut fleet = ObservedFleet::new();
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(Millis(60_000)), []);
    let first = fleet.list_time;
    fleet.list_time = first - Millis(30_000);
    assert_eq!(fleet.observe(Millis(0)), []);
    assert_eq!(fleet.observe(MISSING_LIMIT), []);
    fleet.list_time = first;
    assert_eq!(fleet.observe(just_below(MISSING_LIMIT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.down("h0")]);
}

/// One list: what happened to a host before it, and how each host looks in it.
#[derive(Clone, Debug)]
struct Scene {
    change: u8,
    /// Whether a host is listed, has work, and was restarted.
    hosts: Vec<(bool, bool, bool)>,
    jump_back: bool,
    pick: usize,
    time: u64,
}

fn scene() -> impl Strategy<Value = Scene> {
    let row = (
        prop::bool::weighted(0.75),
        prop::bool::weighted(0.15),
        prop::bool::weighted(0.02),
    );
    let hosts = vec(row, HOSTS.len());
    let jump = prop::bool::weighted(0.05);
    (0..6_u8, hosts, jump, 0..HOSTS.len(), 200..1_500_u64).prop_map(
        |(change, hosts, jump_back, pick, time)| Scene {
            change,
            hosts,
            jump_back,
            pick,
            time,
        },
    )
}

impl ObservedFleet {
    /// Starts or cancels a drain; the fold refuses what does not fit.
    fn change(&mut self, scene: &Scene) {
        let name = HOSTS[scene.pick];
        let (host, seen) = self.fleet.seen(name);
        let _ = match scene.change {
            0 => self.fleet.stop(name, None),
            1 => self.fleet.start_move(name, "b"),
            2 => self.fleet.start_move(name, "a"),
            3 => self.fleet.apply(Record::MoveCancel { host, seen }),
            _ => Ok(()),
        };
    }

    fn show(&mut self, scene: &Scene, runs: &mut [u64]) {
        self.listed.clear();
        self.busy.clear();
        for (index, (listed, busy, restarted)) in scene.hosts.iter().enumerate() {
            runs[index] += u64::from(*restarted);
            if *listed {
                self.listed.insert(HOSTS[index], runs[index]);
            }
            if *busy {
                self.busy.push(HOSTS[index]);
            }
        }
        if scene.jump_back {
            self.list_time = self.list_time - Millis(5_000);
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever the lists show, a host is reported drained only when it was listed and idle for 1.5 s, and
    /// the fold accepts every report.
    #[test]
    fn random_lists(scenes in vec(scene(), 1..80)) {
        let mut fleet = ObservedFleet::new();
        let mut runs = [1; HOSTS.len()];
        let mut idle_since = [None; HOSTS.len()];
        for scene in &scenes {
            fleet.change(scene);
            fleet.show(scene, &mut runs);
            let records = fleet.observe(Millis(scene.time));
            for (index, (listed, busy, restarted)) in scene.hosts.iter().enumerate() {
                let since = idle_since[index].unwrap_or(fleet.local_time);
                let broken = !*listed || *busy || *restarted;
                idle_since[index] = (!broken).then_some(since);
            }
            for record in records {
                if let Record::StopDrained { host: name, .. } | Record::MoveFinish { host: name, .. } = &record {
                    let index = HOSTS.iter().position(|row| host(row) == *name).unwrap();
                    let since = idle_since[index];
                    prop_assert!(
                        since.is_some_and(|since| fleet.local_time.since(since) >= IDLE_LIMIT),
                        "{record:?} after {since:?} at {:?}", fleet.local_time
                    );
                }
                prop_assert_eq!(fleet.fleet.apply(record.clone()), Ok(()), "{:?}", record);
            }
        }
    }
}
