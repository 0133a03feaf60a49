//! Guards against planned changes that leave a pool with fewer available hosts than its budget requires.

mod fleet_model;

use {
    fleet_model::{SmallFleet, one_pool, pool, wave},
    goldcreststall_core::{
        ids::Millis,
        ledger::Rejection::{
            self, BudgetSpent, HostAvailable, StaleVersion, StaleView, WrongState,
        },
        membership::{HOST_LIST_MAX_AGE, MembershipRecord as Record},
    },
};

const TWO_POOLS: &str =
    "[[pools]]\nname = \"a\"\nmin_available = 2\n[[pools]]\nname = \"b\"\nmin_available = 0\n";

fn fleet(min_available: u32, survive: &str, hosts: usize) -> SmallFleet {
    let mut fleet = SmallFleet::new(&one_pool("a", min_available, survive));
    fleet.add_hosts("h", hosts, "a");
    fleet
}

/// Two waves, a move and an operator compete for the last host that the budget can spare; the first in the log gets it.
#[test]
fn last_unit() {
    let mut fleet = SmallFleet::new(TWO_POOLS);
    fleet.add_hosts("h", 3, "a");
    fleet.start_wave("w1", "a").unwrap();
    fleet.start_wave("w2", "a").unwrap();
    assert_eq!(fleet.stop("h0", Some("w1")), Ok(()));
    assert_eq!(fleet.stop("h1", Some("w2")), Err(BudgetSpent));
    assert_eq!(fleet.start_move("h1", "b"), Err(BudgetSpent));
    let (host, seen) = fleet.seen("h2");
    let list_time = fleet.now;
    let drain = Record::DrainStart {
        host,
        list_time,
        seen,
    };
    assert_eq!(fleet.apply(drain), Err(BudgetSpent));
    assert_eq!(fleet.state.rejected().get(&BudgetSpent), Some(&3));
}

/// A failed host counts against the budget before any planned stop, until it is up again.
#[test]
fn failures_first() {
    let mut fleet = fleet(2, "none", 3);
    fleet.down("h0").unwrap();
    assert_eq!(fleet.stop("h1", None), Err(BudgetSpent));
    fleet.up("h0", false).unwrap();
    assert_eq!(fleet.stop("h1", None), Ok(()));
}

/// With 6 hosts in 3 data centres, the loss of one leaves 4, so a budget of 4 allows no stop.
#[test]
fn survive_data_centre() {
    assert_eq!(fleet(4, "none", 6).stop("h0", None), Ok(()));
    assert_eq!(
        fleet(4, "data_centre", 6).stop("h0", None),
        Err(BudgetSpent)
    );
    assert_eq!(fleet(3, "data_centre", 6).stop("h0", None), Ok(()));
}

/// Racks of the same name in different data centres are different failure domains.
#[test]
fn survive_rack() {
    let mut fleet = fleet(4, "rack", 6);
    assert_eq!(fleet.stop("h0", None), Ok(()));
    assert_eq!(fleet.stop("h1", None), Err(BudgetSpent));
}

/// On a host list that is older than 10 s, or from the future, no host is stopped, moved or drained.
#[test]
fn stale_view() {
    let mut fleet = SmallFleet::new(TWO_POOLS);
    fleet.add_hosts("h", 5, "a");
    fleet.start_wave("w1", "a").unwrap();
    let (host, seen) = fleet.seen("h0");
    let removals = |list_time| {
        let host = host.clone();
        let (wave, to) = (None, pool("b"));
        [
            Record::StopStart {
                host: host.clone(),
                list_time,
                seen,
                wave,
            },
            Record::MoveStart {
                host: host.clone(),
                lend: true,
                list_time,
                seen,
                to,
            },
            Record::DrainStart {
                host,
                list_time,
                seen,
            },
        ]
    };
    let now = fleet.now;
    let (old, new) = (now - HOST_LIST_MAX_AGE - Millis(1), now + Millis(1_001));
    for record in removals(old).into_iter().chain(removals(new)) {
        assert_eq!(fleet.apply(record), Err(StaleView));
    }
    let [stop, ..] = removals(now - HOST_LIST_MAX_AGE);
    assert_eq!(fleet.apply(stop), Ok(()));
}

/// The age is measured from the largest timestamp of the log, so a log clock that steps back hides no old list.
#[test]
fn clock_back() {
    let mut fleet = fleet(0, "none", 2);
    let list_time = fleet.now;
    fleet.now = list_time + Millis(20_000);
    fleet.start_wave("w1", "a").unwrap();
    fleet.now = list_time;
    let (host, seen) = fleet.seen("h0");
    let stop = Record::StopStart {
        host,
        list_time,
        seen,
        wave: None,
    };
    assert_eq!(fleet.apply(stop), Err(StaleView));
}

/// An available host may have requests in flight and counts for the budget, so it is not removed.
#[test]
fn remove_drained() {
    let mut fleet = fleet(2, "none", 3);
    let (host, seen) = fleet.seen("h0");
    let remove = Record::HostRemove {
        host: host.clone(),
        seen,
    };
    assert_eq!(fleet.apply(remove), Err(HostAvailable));
    let list_time = fleet.now;
    let drain = Record::DrainStart {
        host,
        list_time,
        seen,
    };
    fleet.apply(drain).unwrap();
    let (host, seen) = fleet.seen("h0");
    assert_eq!(fleet.apply(Record::HostRemove { host, seen }), Ok(()));
}

/// A host that is down uses no budget, so an operator can drain it even when no budget is left.
#[test]
fn drain_down() {
    let mut fleet = fleet(2, "none", 3);
    fleet.down("h0").unwrap();
    let (host, seen) = fleet.seen("h0");
    let list_time = fleet.now;
    let drain = Record::DrainStart {
        host,
        list_time,
        seen,
    };
    assert_eq!(fleet.apply(drain), Ok(()));
    fleet.up("h0", false).unwrap();
    assert!(!fleet.host("h0").is_available());
}

/// A host that was removed and added again is a new version, even with the same incarnation.
#[test]
fn replaced_host() {
    let mut fleet = fleet(0, "none", 1);
    let (host, seen) = fleet.seen("h0");
    fleet.down("h0").unwrap();
    let (_, down) = fleet.seen("h0");
    let remove = Record::HostRemove {
        host: host.clone(),
        seen: down,
    };
    fleet.apply(remove).unwrap();
    fleet.add_hosts("h", 1, "a");
    assert_eq!(
        fleet.apply(Record::HostDown { host, seen }),
        Err(StaleVersion)
    );
}

/// A budget broken by failures or a new configuration allows no planned change until it is kept again.
#[test]
fn broken_budget() {
    let mut fleet = fleet(3, "none", 4);
    fleet.publish(&one_pool("a", 9, "none")).unwrap();
    let results: [Rejection; 4] =
        ["h0", "h1", "h2", "h3"].map(|host| fleet.stop(host, None).unwrap_err());
    assert_eq!(results, [BudgetSpent; 4]);
}

/// A wave stops no host of another pool, no host that it has maintained, and none while it is paused.
#[test]
fn wave_members() {
    let mut fleet = SmallFleet::new(TWO_POOLS);
    fleet.add_hosts("h", 4, "a");
    fleet.add_hosts("k", 1, "b");
    fleet.start_wave("w1", "a").unwrap();
    assert_eq!(fleet.stop("k0", Some("w1")), Err(WrongState));
    fleet.stop("h0", Some("w1")).unwrap();
    fleet.drained("h0").unwrap();
    fleet.up("h0", true).unwrap();
    assert_eq!(fleet.stop("h0", Some("w1")), Err(WrongState));
    let seen = fleet.wave("w1").seen;
    let pause = Record::WavePause {
        seen,
        wave: wave("w1"),
    };
    fleet.apply(pause.clone()).unwrap();
    assert_eq!(fleet.stop("h1", Some("w1")), Err(WrongState));
    assert_eq!(fleet.apply(pause), Err(StaleVersion));
}
