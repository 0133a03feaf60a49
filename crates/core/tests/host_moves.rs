//! Guards against moves that race, and against configurations that leave a host without a pool.

mod fleet_model;

use {
    fleet_model::{SmallFleet, one_pool, pool},
    goldcreststall_core::{
        ledger::Rejection::{PoolInUse, SamePool, StaleVersion, UnknownPool, WrongState},
        membership::{HostActivity, MembershipRecord as Record},
    },
};

fn pools(names: &[&str]) -> String {
    let pools = names.iter().map(|name| one_pool(name, 0, "none"));
    pools.collect()
}

fn fleet() -> SmallFleet {
    let mut fleet = SmallFleet::new(&pools(&["a", "b", "c"]));
    fleet.add_hosts("h", 2, "a");
    fleet
}

/// A moving host stays in its old pool and counts as unavailable there until the move is finished.
#[test]
fn whole_move() {
    let mut fleet = fleet();
    fleet.start_move("h0", "b").unwrap();
    assert_eq!(fleet.host("h0").pool, pool("a"));
    assert!(!fleet.host("h0").is_available());
    fleet.finish_move("h0").unwrap();
    assert_eq!(fleet.host("h0").pool, pool("b"));
    assert!(fleet.host("h0").is_available());
    assert_eq!(fleet.finish_move("h0"), Err(WrongState));
    assert_eq!(fleet.start_move("h0", "b"), Err(SamePool));
    assert_eq!(fleet.start_move("h0", "d"), Err(UnknownPool));
}

/// Of two moves of one host, the first in the log wins. A late end of a cancelled move does not end the next one,
/// whose host may still have requests in flight.
#[test]
fn racing_moves() {
    let mut fleet = fleet();
    let (host, seen) = fleet.seen("h0");
    let list_time = fleet.now;
    let start = |to| Record::MoveStart {
        host: host.clone(),
        lend: false,
        list_time,
        seen,
        to: pool(to),
    };
    assert_eq!(fleet.apply(start("b")), Ok(()));
    assert_eq!(fleet.apply(start("c")), Err(StaleVersion));
    let (host, seen) = fleet.seen("h0");
    let (finish, cancel) = (
        Record::MoveFinish {
            host: host.clone(),
            seen,
        },
        Record::MoveCancel { host, seen },
    );
    assert_eq!(fleet.apply(cancel), Ok(()));
    fleet.start_move("h0", "c").unwrap();
    assert_eq!(fleet.apply(finish), Err(StaleVersion));
    assert_eq!(fleet.host("h0").pool, pool("a"));
}

/// A replaced host is a new version, so a move that was decided on the old incarnation is ignored.
#[test]
fn replaced_run() {
    let mut fleet = fleet();
    let (host, seen) = fleet.seen("h0");
    fleet.up("h0", true).unwrap();
    let list_time = fleet.now;
    let start = Record::MoveStart {
        host,
        lend: false,
        list_time,
        seen,
        to: pool("b"),
    };
    assert_eq!(fleet.apply(start), Err(StaleVersion));
    assert_eq!(fleet.host("h0").activity, HostActivity::Serving);
}

/// A lent host keeps its lender until it is returned or permanently moved.
#[test]
fn lent_host() {
    let mut fleet = fleet();
    let move_host = |fleet: &mut SmallFleet, to: &str, lend: bool| {
        let (host, seen) = fleet.seen("h0");
        let list_time = fleet.now;
        let start = Record::MoveStart {
            host,
            lend,
            list_time,
            seen,
            to: pool(to),
        };
        fleet.apply(start).unwrap();
        fleet.finish_move("h0").unwrap();
        fleet.host("h0").lent_from.clone()
    };
    assert_eq!(move_host(&mut fleet, "b", true), Some(pool("a")));
    assert_eq!(move_host(&mut fleet, "c", true), Some(pool("a")));
    assert_eq!(move_host(&mut fleet, "a", true), None);
    assert_eq!(move_host(&mut fleet, "b", true), Some(pool("a")));
    assert_eq!(move_host(&mut fleet, "c", false), None);
    assert_eq!(fleet.state.membership.recent_moves(fleet.now), 5);
}

/// A publication without a pool that has hosts, a move towards it, a lender or an open wave is ignored.
#[test]
fn used_pool() {
    let mut fleet = fleet();
    assert_eq!(fleet.publish(&pools(&["b", "c"])), Err(PoolInUse));
    fleet.start_move("h0", "b").unwrap();
    assert_eq!(fleet.publish(&pools(&["a", "c"])), Err(PoolInUse));
    fleet.finish_move("h0").unwrap();
    fleet.start_wave("w1", "c").unwrap();
    assert_eq!(fleet.publish(&pools(&["a", "b"])), Err(PoolInUse));
    let wave = fleet.wave("w1");
    let finish = Record::WaveFinish {
        seen: wave.seen,
        wave: wave.wave,
    };
    fleet.apply(finish).unwrap();
    assert_eq!(fleet.publish(&pools(&["a", "b"])), Ok(()));
    assert_eq!(fleet.state.config.version().0, 2);
}
