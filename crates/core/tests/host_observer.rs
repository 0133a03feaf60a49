//! Guards against hosts that are reported as down after one bad list, or as drained while they have work.

mod fleet_model;

use {
    fleet_model::{SmallFleet, host},
    goldcreststall_core::{
        ids::{Incarnation, LocalTime, LogTime, Millis},
        membership::MembershipRecord as Record,
        observation::{HostObserver, IDLE_TIMEOUT, ListedHost, MISSING_TIMEOUT, ObservationInput},
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::collections::BTreeMap,
};

const POOLS: &str =
    "[[pools]]\nname = \"a\"\nmin_available = 0\n[[pools]]\nname = \"b\"\nmin_available = 0\n";
const TICK: Millis = Millis(500);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

/// A fleet and an observer; each test sets the host lists directly.
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

    /// Advances the time, observes the list and returns the records without applying them.
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

    /// Observes the list and applies the records, none of which may be rejected.
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

/// A host that is missing from one list, or from every second list, is not reported as down.
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

/// A host is reported as down when it has been missing from the lists for 3 s, not earlier and only once.
#[test]
fn missing_host() {
    let mut fleet = ObservedFleet::new();
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(MISSING_TIMEOUT)), []);
    let down = fleet.down("h0");
    assert_eq!(fleet.step(Millis(1)), [down]);
    assert_eq!(fleet.observe(TICK), []);
}

/// A drained host that reboots is expected to be missing, so its reboot is not reported as a failure.
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

/// A newer incarnation is reported as up, both of a serving host and of a rebooted one.
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

/// A host is reported as drained after it has been idle for 1.5 s, not earlier.
#[test]
fn idle_host() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_TIMEOUT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// Work in between restarts the 1.5 s.
#[test]
fn busy_again() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    fleet.busy.push("h0");
    assert_eq!(fleet.observe(TICK), []);
    fleet.busy.clear();
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_TIMEOUT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// A host that was not listed in between may have had work, which restarts the 1.5 s.
#[test]
fn unseen_host() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(TICK), []);
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(TICK), []);
    fleet.listed.insert("h0", 1);
    assert_eq!(fleet.observe(TICK), []);
    assert_eq!(fleet.observe(just_below(IDLE_TIMEOUT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.drained("h0")]);
}

/// The idle period of an earlier drain does not count for a later drain that starts before the next list.
#[test]
fn second_drain() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.start_move("h0", "b").unwrap();
    assert_eq!(fleet.observe(TICK), []);
    let (host, seen) = fleet.fleet.seen("h0");
    let cancel = Record::MoveCancel { host, seen };
    fleet.fleet.apply(cancel).unwrap();
    fleet.fleet.stop("h0", None).unwrap();
    assert_eq!(fleet.observe(IDLE_TIMEOUT), []);
    assert_eq!(fleet.observe(IDLE_TIMEOUT), [fleet.drained("h0")]);
}

/// The old incarnation that is still listed after the drain ends no stop, not even an overdue one.
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

/// A list that still shows the incarnation before the failed one says nothing about the work of the host.
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

/// A draining host that was missing and returns with the same incarnation is up and continues its drain;
/// otherwise its stop would never end.
#[test]
fn back_while_draining() {
    let mut fleet = ObservedFleet::new();
    fleet.fleet.stop("h0", None).unwrap();
    fleet.listed.remove("h0");
    fleet.step(TICK);
    let down = fleet.down("h0");
    assert_eq!(fleet.step(MISSING_TIMEOUT), [down]);
    fleet.listed.insert("h0", 1);
    let up = fleet.up("h0", 1);
    assert_eq!(fleet.step(TICK), [up]);
    assert_eq!(fleet.step(TICK), []);
    let drained = fleet.drained("h0");
    assert_eq!(fleet.step(IDLE_TIMEOUT), [drained]);
}

/// An old list that arrives late neither shortens the 3 s nor reports a host as down by itself.
#[test]
fn list_back() {
    let mut fleet = ObservedFleet::new();
    fleet.listed.remove("h0");
    assert_eq!(fleet.observe(Millis(60_000)), []);
    let first = fleet.list_time;
    fleet.list_time = first - Millis(30_000);
    assert_eq!(fleet.observe(Millis(0)), []);
    assert_eq!(fleet.observe(MISSING_TIMEOUT), []);
    fleet.list_time = first;
    assert_eq!(fleet.observe(just_below(MISSING_TIMEOUT)), []);
    assert_eq!(fleet.observe(Millis(1)), [fleet.down("h0")]);
}

/// One host list: a change to a host before it, and the state of each host in it.
#[derive(Clone, Debug)]
struct HostListCase {
    change: u8,
    /// Per host: whether it is listed, has work, and was restarted.
    hosts: Vec<(bool, bool, bool)>,
    is_older_list: bool,
    host_index: usize,
    time: u64,
}

fn case() -> impl Strategy<Value = HostListCase> {
    let host_state = (
        prop::bool::weighted(0.75),
        prop::bool::weighted(0.15),
        prop::bool::weighted(0.02),
    );
    let hosts = vec(host_state, HOSTS.len());
    let is_older_list = prop::bool::weighted(0.05);
    (
        0..6_u8,
        hosts,
        is_older_list,
        0..HOSTS.len(),
        200..1_500_u64,
    )
        .prop_map(
            |(change, hosts, is_older_list, host_index, time)| HostListCase {
                change,
                hosts,
                is_older_list,
                host_index,
                time,
            },
        )
}

impl ObservedFleet {
    /// Starts or cancels a drain; a record that does not fit the state of the host is rejected.
    fn change(&mut self, case: &HostListCase) {
        let name = HOSTS[case.host_index];
        let (host, seen) = self.fleet.seen(name);
        let _ = match case.change {
            0 => self.fleet.stop(name, None),
            1 => self.fleet.start_move(name, "b"),
            2 => self.fleet.start_move(name, "a"),
            3 => self.fleet.apply(Record::MoveCancel { host, seen }),
            _ => Ok(()),
        };
    }

    fn set_list(&mut self, case: &HostListCase, incarnations: &mut [u64]) {
        self.listed.clear();
        self.busy.clear();
        for (index, (listed, busy, restarted)) in case.hosts.iter().enumerate() {
            incarnations[index] += u64::from(*restarted);
            if *listed {
                self.listed.insert(HOSTS[index], incarnations[index]);
            }
            if *busy {
                self.busy.push(HOSTS[index]);
            }
        }
        if case.is_older_list {
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

    /// Whatever the lists show, a host is reported as drained only when it was listed and idle for 1.5 s, and
    /// no record is rejected.
    #[test]
    fn random_lists(cases in vec(case(), 1..80)) {
        let mut fleet = ObservedFleet::new();
        let mut incarnations = [1; HOSTS.len()];
        let mut idle_since = [None; HOSTS.len()];
        for case in &cases {
            fleet.change(case);
            fleet.set_list(case, &mut incarnations);
            let records = fleet.observe(Millis(case.time));
            for (index, (listed, busy, restarted)) in case.hosts.iter().enumerate() {
                let since = idle_since[index].unwrap_or(fleet.local_time);
                let interrupted = !*listed || *busy || *restarted;
                idle_since[index] = (!interrupted).then_some(since);
            }
            for record in records {
                if let Record::StopDrained { host: name, .. } | Record::MoveFinish { host: name, .. } = &record {
                    let index = HOSTS.iter().position(|row| host(row) == *name).unwrap();
                    let since = idle_since[index];
                    prop_assert!(
                        since.is_some_and(|since| fleet.local_time.since(since) >= IDLE_TIMEOUT),
                        "{record:?} after {since:?} at {:?}", fleet.local_time
                    );
                }
                prop_assert_eq!(fleet.fleet.apply(record.clone()), Ok(()), "{:?}", record);
            }
        }
    }
}
