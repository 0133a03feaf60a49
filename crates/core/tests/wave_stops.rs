//! Guards against waves that skip a host, count one that was not maintained, or end too early.

mod fleet_model;

use {
    fleet_model::{SmallFleet, one_pool, wave},
    goldcreststall_core::{
        ids::Millis,
        ledger::Rejection::{self, StaleVersion, WaveExists, WaveUnfinished, WrongState},
        membership::{HostActivity, MAX_CLOSED_WAVES, MembershipRecord as Record, WaveStatus},
    },
};

fn fleet() -> SmallFleet {
    let mut fleet = SmallFleet::new(&one_pool("a", 0, "none"));
    fleet.add_hosts("h", 3, "a");
    fleet.start_wave("w1", "a").unwrap();
    fleet
}

fn finish(fleet: &mut SmallFleet, name: &str) -> Result<(), Rejection> {
    let seen = fleet.wave(name).seen;
    fleet.apply(Record::WaveFinish {
        seen,
        wave: wave(name),
    })
}

fn cancel(fleet: &mut SmallFleet, name: &str) -> Result<(), Rejection> {
    let seen = fleet.wave(name).seen;
    fleet.apply(Record::WaveCancel {
        seen,
        wave: wave(name),
    })
}

fn maintain(fleet: &mut SmallFleet, host: &str, by: &str) {
    fleet.stop(host, Some(by)).unwrap();
    fleet.drained(host).unwrap();
    fleet.up(host, true).unwrap();
}

/// A wave ends only when every host was maintained, including one that joined the pool later.
#[test]
fn every_host() {
    let mut fleet = fleet();
    maintain(&mut fleet, "h0", "w1");
    maintain(&mut fleet, "h1", "w1");
    assert_eq!(finish(&mut fleet, "w1"), Err(WaveUnfinished));
    maintain(&mut fleet, "h2", "w1");
    fleet.add_hosts("late", 1, "a");
    assert_eq!(finish(&mut fleet, "w1"), Err(WaveUnfinished));
    maintain(&mut fleet, "late0", "w1");
    assert_eq!(finish(&mut fleet, "w1"), Ok(()));
    assert_eq!(fleet.start_wave("w1", "a"), Err(WaveExists));
}

/// A host that was replaced under its old name has to be maintained again.
#[test]
fn replaced_member() {
    let mut fleet = fleet();
    for host in ["h0", "h1", "h2"] {
        maintain(&mut fleet, host, "w1");
    }
    fleet.down("h0").unwrap();
    let (host, seen) = fleet.seen("h0");
    fleet.apply(Record::HostRemove { host, seen }).unwrap();
    fleet.add_hosts("h", 1, "a");
    assert_eq!(finish(&mut fleet, "w1"), Err(WaveUnfinished));
}

/// A drained host is up again only with a newer incarnation, and is not down before its reboot limit. One that restarts
/// while it drains was not maintained.
#[test]
fn newer_run() {
    let mut fleet = fleet();
    fleet.stop("h0", Some("w1")).unwrap();
    fleet.up("h0", true).unwrap();
    assert!(fleet.host("h0").is_available());
    let pending = |fleet: &SmallFleet| {
        let membership = &fleet.state.membership;
        membership
            .pending(membership.waves().get(&wave("w1")).unwrap())
            .count()
    };
    assert_eq!(pending(&fleet), 3);
    fleet.stop("h0", Some("w1")).unwrap();
    fleet.drained("h0").unwrap();
    fleet.now = fleet.now + Millis(60_000);
    assert_eq!(fleet.down("h0"), Err(WrongState));
    fleet.now = fleet.now + Millis(1);
    fleet.down("h0").unwrap();
    assert_eq!(fleet.up("h0", false), Err(WrongState));
    assert_eq!(fleet.drained("h0"), Err(WrongState));
    fleet.now = fleet.now + Millis(30_000);
    fleet.up("h0", true).unwrap();
    assert_eq!(pending(&fleet), 2);
    assert_eq!(fleet.host("h0").maintained, fleet.now);
}

/// When a wave is cancelled, hosts that still drain serve again; a host that may be rebooting stays stopped.
#[test]
fn cancelled_wave() {
    let mut fleet = fleet();
    fleet.stop("h0", Some("w1")).unwrap();
    fleet.stop("h1", Some("w1")).unwrap();
    let (host, seen) = fleet.seen("h0");
    fleet.drained("h1").unwrap();
    cancel(&mut fleet, "w1").unwrap();
    assert_eq!(fleet.host("h0").activity, HostActivity::Serving);
    assert_eq!(
        fleet.apply(Record::StopDrained { host, seen }),
        Err(StaleVersion)
    );
    assert!(fleet.host("h1").stop().is_some());
    fleet.up("h1", true).unwrap();
    assert_eq!(fleet.host("h1").activity, HostActivity::Serving);
    assert_eq!(fleet.stop("h2", Some("w1")), Err(WrongState));
}

/// Old closed waves are removed, but not while one of their stops is in progress: its end would count for a new wave of
/// the same name.
#[test]
fn closed_waves() {
    let mut fleet = fleet();
    fleet.stop("h0", Some("w1")).unwrap();
    fleet.drained("h0").unwrap();
    cancel(&mut fleet, "w1").unwrap();
    for number in 0..MAX_CLOSED_WAVES + 3 {
        let name = format!("x{number}");
        fleet.start_wave(&name, "a").unwrap();
        cancel(&mut fleet, &name).unwrap();
    }
    let waves = fleet.state.membership.waves();
    assert_eq!(waves.len(), MAX_CLOSED_WAVES + 1);
    assert_eq!(
        waves.get(&wave("w1")).unwrap().status,
        WaveStatus::Cancelled
    );
    assert!(!waves.contains(&wave("x0")));
    fleet.up("h0", true).unwrap();
    assert_eq!(fleet.start_wave("x0", "a"), Ok(()));
}
