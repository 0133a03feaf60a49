//! Guards against moves caused by floods, hosts moving back and forth, and lending beyond the lender's budget.

mod fleet_model;

use {
    fleet_model::{SmallFleet, one_pool, pool},
    goldcreststall_core::{
        capacity::{LendInput, LendPolicy, LendSettings, PoolNeed},
        ids::Millis,
        membership::{HostActivity, MembershipRecord as Record},
    },
};

const SECOND: Millis = Millis(1_000);
const HOUR_SECONDS: u64 = 3_600;

struct LendingFixture {
    fleet: SmallFleet,
    moves: Vec<(u64, String)>,
    policy: LendPolicy,
    seconds: u64,
}

impl LendingFixture {
    /// Six hosts in `proofs`, six in `plates` and eight in `spare`; two have to stay available in each pool.
    fn new() -> Self {
        let document: String = [("plates", 2), ("proofs", 2), ("spare", 2)]
            .map(|(name, min_available)| one_pool(name, min_available, "none"))
            .concat();
        let mut fleet = SmallFleet::new(&document);
        fleet.add_hosts("f", 6, "proofs");
        fleet.add_hosts("l", 6, "plates");
        fleet.add_hosts("s", 8, "spare");
        Self {
            fleet,
            moves: Vec::new(),
            policy: LendPolicy::new(LendSettings::new(pool("spare"))),
            seconds: 0,
        }
    }

    /// Runs for `seconds`; moving hosts drain immediately. `need` returns the need of `proofs` at each second.
    fn run(&mut self, seconds: u64, need: impl Fn(u64) -> f64) {
        for _ in 0..seconds {
            self.fleet.now = self.fleet.now + SECOND;
            self.seconds += 1;
            self.observe("proofs", need(self.seconds));
            self.observe("plates", 3.0);
            let records = self.policy.plan(self.input());
            for record in records {
                if let Record::MoveStart { to, .. } = &record {
                    self.moves.push((self.seconds, to.to_string()));
                }
                self.fleet.apply(record).unwrap();
            }
            self.finish_moves();
        }
    }

    fn finish_moves(&mut self) {
        let hosts = self.fleet.state.membership.hosts().iter();
        let moving = hosts.filter(|(_, host)| matches!(host.activity, HostActivity::Moving { .. }));
        let names: Vec<String> = moving.map(|(name, _)| name.to_string()).collect();
        for name in names {
            self.fleet.finish_move(&name).unwrap();
        }
    }

    fn observe(&mut self, name: &str, hosts: f64) {
        let capacity = self.input().capacity(&pool(name));
        let need = PoolNeed {
            hosts,
            pool: pool(name),
        };
        self.policy.observe(self.fleet.now, &need, capacity);
    }

    fn input(&self) -> LendInput<'_> {
        LendInput {
            config: self.fleet.state.config.fleet(),
            list_time: self.fleet.now,
            membership: &self.fleet.state.membership,
            now: self.fleet.now,
        }
    }

    fn moved_to(&self, name: &str) -> usize {
        self.moves.iter().filter(|(_, to)| to == name).count()
    }
}

/// Ten seconds of five times the mean need every 50 s, and a twentieth of it in between, cause no move in four hours.
#[test]
fn flood_lasts() {
    let mut lending = LendingFixture::new();
    lending.run(
        4 * HOUR_SECONDS,
        |second| if second % 50 < 10 { 15.0 } else { 0.15 },
    );
    assert_eq!(lending.moves, []);
}

/// The first sample of a new duty holder may be taken during a flood and says nothing about the smoothed need.
#[test]
fn first_sample() {
    let mut lending = LendingFixture::new();
    lending.run(30, |_| 15.0);
    lending.run(HOUR_SECONDS, |_| 3.0);
    assert_eq!(lending.moves, []);
}

/// A lasting need gets as many hosts as it lacks, and they are returned once when it has ended.
#[test]
fn lasting_need() {
    let mut lending = LendingFixture::new();
    lending.run(2 * HOUR_SECONDS, |_| 8.5);
    assert_eq!(lending.moved_to("proofs"), 3);
    assert_eq!(lending.moved_to("spare"), 0);
    lending.run(4 * HOUR_SECONDS, |_| 3.0);
    assert_eq!(lending.moved_to("spare"), 3);
    assert_eq!(lending.moves.len(), 6);
}

/// Lent hosts stay when the need drops only for some minutes.
#[test]
fn short_dip() {
    let mut lending = LendingFixture::new();
    lending.run(2 * HOUR_SECONDS, |_| 8.5);
    for _ in 0..4 {
        lending.run(8 * 60, |_| 3.0);
        lending.run(HOUR_SECONDS / 2, |_| 8.5);
    }
    assert_eq!(
        (lending.moved_to("proofs"), lending.moved_to("spare")),
        (3, 0)
    );
}

/// A need that varies around the capacity by half a host for hours does not move hosts back and forth.
#[test]
fn near_capacity() {
    let mut lending = LendingFixture::new();
    lending.run(8 * HOUR_SECONDS, |second| {
        if second / 1_800 % 2 == 0 { 6.4 } else { 5.6 }
    });
    assert!(lending.moves.len() <= 1, "{:?}", lending.moves);
}

/// The lender keeps its own budget and covers its own need, however many hosts other pools lack.
#[test]
fn lender_budget() {
    let mut lending = LendingFixture::new();
    lending.run(6 * HOUR_SECONDS, |_| 40.0);
    let remaining = lending
        .fleet
        .state
        .membership
        .members(&pool("spare"))
        .count();
    assert_eq!((lending.moved_to("proofs"), remaining), (6, 2));
}

/// The limit on moves per hour counts every move in the log, so that it also holds for a new duty holder.
#[test]
fn move_bound() {
    let mut lending = LendingFixture::new();
    let bound = LendSettings::new(pool("spare")).max_moves_per_hour;
    for index in 0..bound - 1 {
        let name = format!("l{}", index % 2);
        let to = ["proofs", "plates"][index / 2 % 2];
        lending.fleet.start_move(&name, to).unwrap();
        lending.fleet.finish_move(&name).unwrap();
    }
    lending.run(HOUR_SECONDS - 60, |_| 40.0);
    assert_eq!(lending.moves.len(), 1);
    lending.run(HOUR_SECONDS, |_| 40.0);
    assert!(lending.moves.len() > 1);
}

/// No host is moved while the host list is too old.
#[test]
fn old_list() {
    let mut lending = LendingFixture::new();
    lending.run(600, |_| 3.0);
    for _ in 0..HOUR_SECONDS {
        lending.fleet.now = lending.fleet.now + SECOND;
        lending.observe("proofs", 9.0);
    }
    let fresh = lending.input();
    assert!(!lending.policy.plan(fresh).is_empty());
    let stale = LendInput {
        list_time: fresh.now - Millis(10_001),
        ..fresh
    };
    assert_eq!(lending.policy.plan(stale), []);
}
