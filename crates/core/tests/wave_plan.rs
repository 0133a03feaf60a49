//! Guards against waves that skip hosts, wait without a reason, or stop hosts in a bad order.

mod fleet_model;

use {
    fleet_model::{SmallFleet, one_pool, wave},
    goldcreststall_core::{
        ids::{HostName, LogTime, Millis},
        membership::{MembershipRecord as Record, WaveStatus},
        rollout::{RolloutInput, RolloutPlan, WaitReason, plan_waves},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 64;
const SEED: u64 = 53;
/// More rounds than a wave over the largest fleet of these tests needs when it stops one host at a time.
const MAX_ROUNDS: u64 = 1_000;

fn plan_at(fleet: &SmallFleet, list_time: LogTime) -> RolloutPlan {
    plan_waves(RolloutInput {
        config: fleet.state.config.fleet(),
        list_time,
        membership: &fleet.state.membership,
        now: fleet.now,
    })
}

fn plan(fleet: &SmallFleet) -> RolloutPlan {
    plan_at(fleet, fleet.now)
}

fn wait_reason(fleet: &SmallFleet) -> Option<WaitReason> {
    plan(fleet).waves[0].wait
}

fn stopped(plan: &RolloutPlan) -> Vec<String> {
    let hosts = plan.records.iter().filter_map(|record| match record {
        Record::StopStart { host, .. } => Some(host.to_string()),
        _ => None,
    });
    hosts.collect()
}

fn fleet(min_available: u32, survive: &str, hosts: usize) -> SmallFleet {
    let mut fleet = SmallFleet::new(&one_pool("a", min_available, survive));
    fleet.add_hosts("h", hosts, "a");
    fleet.start_wave("w1", "a").unwrap();
    fleet
}

fn append(fleet: &mut SmallFleet, plan: RolloutPlan) {
    for record in plan.records {
        fleet.apply(record).unwrap();
    }
}

/// A budget of 9 of 12 hosts allows three stops, one in each data centre.
#[test]
fn spread_stops() {
    let fleet = fleet(9, "none", 12);
    let plan = plan(&fleet);
    let mut data_centres: Vec<String> = stopped(&plan)
        .iter()
        .map(|name| fleet.host(name).data_centre.to_string())
        .collect();
    data_centres.sort_unstable();
    assert_eq!(data_centres, ["dc0", "dc1", "dc2"]);
    assert_eq!(plan.waves[0].wait, None);
}

/// Hosts that have gone longest without maintenance come first; this takes precedence over spreading the stops.
#[test]
fn oldest_first() {
    let mut fleet = fleet(10, "none", 12);
    let day = Millis(25 * 60 * 60 * 1000);
    for index in [3, 0, 7, 1, 2, 4, 5, 6, 8, 9, 10, 11] {
        let name = format!("h{index}");
        fleet.now = fleet.now + day;
        fleet.stop(&name, Some("w1")).unwrap();
        fleet.drained(&name).unwrap();
        fleet.up(&name, true).unwrap();
    }
    let finish = plan(&fleet);
    append(&mut fleet, finish);
    // The host longest without maintenance is in the data centre of the host that an operator drains.
    let (host, seen) = fleet.seen("h6");
    let list_time = fleet.now;
    let drain = Record::DrainStart {
        host,
        list_time,
        seen,
    };
    fleet.apply(drain).unwrap();
    fleet.start_wave("w2", "a").unwrap();
    assert_eq!(stopped(&plan(&fleet)), ["h3"]);
}

/// Seven hosts, three of them in one data centre, keep a budget of four without this data centre. Only a stop
/// there costs no budget, so the wave continues there although the hosts longest without maintenance are
/// elsewhere.
#[test]
fn blocked_oldest() {
    let mut fleet = fleet(4, "data_centre", 7);
    fleet.now = fleet.now + Millis(25 * 60 * 60 * 1000);
    for name in ["h0", "h3", "h6"] {
        fleet.stop(name, None).unwrap();
        fleet.drained(name).unwrap();
        fleet.up(name, true).unwrap();
    }
    assert_eq!(stopped(&plan(&fleet)), ["h0"]);
}

/// Two waves over one pool share its budget within one plan.
#[test]
fn shared_budget() {
    let mut fleet = fleet(9, "none", 12);
    fleet.start_wave("w2", "a").unwrap();
    let plan = plan(&fleet);
    assert_eq!(stopped(&plan).len(), 3);
    append(&mut fleet, plan);
    assert!(fleet.state.rejected().is_empty());
}

/// A wave that cannot continue gives the reason, and continues by itself when the cause has passed.
#[test]
fn wait_reasons() {
    let mut fleet = fleet(5, "none", 6);
    let old = plan_at(&fleet, fleet.now - Millis(10_001));
    let age = Millis(10_001);
    assert!(old.records.is_empty());
    assert_eq!(old.waves[0].wait, Some(WaitReason::StaleList { age }));
    fleet.down("h5").unwrap();
    let spent = WaitReason::BudgetSpent {
        assured: 5,
        down: 1,
        min_available: 5,
    };
    assert_eq!(wait_reason(&fleet), Some(spent));
    fleet.up("h5", false).unwrap();
    assert_eq!(wait_reason(&fleet), None);
    let seen = fleet.wave("w1").seen;
    let pause = Record::WavePause {
        seen,
        wave: wave("w1"),
    };
    fleet.apply(pause).unwrap();
    assert_eq!(wait_reason(&fleet), Some(WaitReason::Paused));
}

/// The last hosts of a wave are reported as stopping, down or busy, and the wave does not finish before them.
#[test]
fn last_hosts() {
    let mut fleet = fleet(0, "none", 1);
    fleet.stop("h0", Some("w1")).unwrap();
    let stops = |draining, rebooting| {
        Some(WaitReason::StopsInProgress {
            draining,
            rebooting,
        })
    };
    assert_eq!(wait_reason(&fleet), stops(1, 0));
    fleet.drained("h0").unwrap();
    assert_eq!(wait_reason(&fleet), stops(0, 1));
    fleet.now = fleet.now + Millis(60_001);
    let overdue = plan(&fleet);
    let (name, seen) = fleet.seen("h0");
    assert_eq!(overdue.records, [Record::HostDown { host: name, seen }]);
    append(&mut fleet, overdue);
    let down = WaitReason::HostsUnavailable { busy: 0, down: 1 };
    assert_eq!(wait_reason(&fleet), Some(down));
    assert_eq!(fleet.host("h0").down, Some(fleet.now));
    fleet.up("h0", true).unwrap();
    let finish = plan(&fleet);
    append(&mut fleet, finish);
    let status = fleet
        .state
        .membership
        .waves()
        .get(&wave("w1"))
        .unwrap()
        .status;
    assert_eq!(status, WaveStatus::Finished);
}

/// Until the first host has returned, a wave stops at most half of the pool, whatever the budget allows.
#[test]
fn canary_stops() {
    let mut fleet = fleet(0, "none", 12);
    let first = plan(&fleet);
    let names = stopped(&first);
    assert_eq!(names.len(), 6);
    append(&mut fleet, first);
    let awaits_return = WaitReason::AwaitsReturn {
        overdue: 0,
        stopping: 6,
    };
    assert_eq!(wait_reason(&fleet), Some(awaits_return));
    fleet.drained(&names[0]).unwrap();
    fleet.up(&names[0], true).unwrap();
    assert_eq!(stopped(&plan(&fleet)).len(), 6);
}

/// Hosts that do not return are down. The wave continues and keeps budget units free for the hosts it stops that
/// are expected not to return, from the fraction of overdue hosts so far.
#[test]
fn overdue_hosts() {
    let mut fleet = fleet(6, "none", 12);
    let first = plan(&fleet);
    let names = stopped(&first);
    append(&mut fleet, first);
    for name in &names {
        fleet.drained(name).unwrap();
    }
    for name in &names[..4] {
        fleet.up(name, true).unwrap();
    }
    fleet.now = fleet.now + Millis(61_000);
    let next = plan(&fleet);
    // Two hosts are overdue and six are needed, so four units remain. One of three hosts did not return, so
    // one unit stays free for three stops.
    assert_eq!(stopped(&next).len(), 3);
    append(&mut fleet, next);
    let awaits_return = WaitReason::AwaitsReturn {
        overdue: 2,
        stopping: 3,
    };
    assert_eq!(wait_reason(&fleet), Some(awaits_return));
}

/// When no host has returned yet and one is overdue, each further stop keeps a unit free, so that the rest of
/// the wave cannot use up the budget of a pool whose hosts all fail to return.
#[test]
fn all_overdue() {
    let mut fleet = fleet(4, "none", 12);
    let first = plan(&fleet);
    let names = stopped(&first);
    append(&mut fleet, first);
    fleet.drained(&names[0]).unwrap();
    fleet.now = fleet.now + Millis(61_000);
    // One of the six is overdue, five are draining, and the two remaining units stay free for the five.
    let next = plan(&fleet);
    assert_eq!(stopped(&next), Vec::<String>::new());
    append(&mut fleet, next);
    let awaits_return = WaitReason::AwaitsReturn {
        overdue: 1,
        stopping: 5,
    };
    assert_eq!(wait_reason(&fleet), Some(awaits_return));
}

/// One host that does not return after many did does not reduce the number of stops.
#[test]
fn one_overdue() {
    let mut fleet = fleet(8, "none", 12);
    let first = plan(&fleet);
    let names = stopped(&first);
    assert_eq!(names.len(), 4);
    append(&mut fleet, first);
    for name in &names {
        fleet.drained(name).unwrap();
    }
    for name in &names[..3] {
        fleet.up(name, true).unwrap();
    }
    let second = plan(&fleet);
    let more = stopped(&second);
    assert_eq!(more.len(), 3);
    append(&mut fleet, second);
    for name in &more {
        fleet.drained(name).unwrap();
        fleet.up(name, true).unwrap();
    }
    fleet.now = fleet.now + Millis(61_000);
    // One of seven is overdue: of three hosts, less than half a host is expected not to return.
    assert_eq!(stopped(&plan(&fleet)).len(), 3);
}

/// Under the survive rule the stops are spread so that they cost least: 12 hosts in 3 data centres with a budget
/// of 6 keep 8 without the largest data centre, and three stops, one in each, leave 6.
#[test]
fn survive_stops() {
    let fleet = fleet(6, "data_centre", 12);
    assert_eq!(stopped(&plan(&fleet)).len(), 3);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Runs the wave to its end; hosts drain, fail and return at random. Returns the number of rounds.
fn run_wave(fleet: &mut SmallFleet, random: &mut impl FnMut() -> u8) -> Result<u64, String> {
    for round in 0..MAX_ROUNDS {
        fleet.now = fleet.now + Millis(20_000);
        let plan = plan(fleet);
        let open = plan.waves.first().cloned();
        let idle = plan.records.is_empty();
        for record in plan.records {
            fleet
                .apply(record)
                .map_err(|rejection| rejection.to_string())?;
        }
        match open {
            None => return Ok(round),
            Some(wave) if idle && wave.wait.is_none() => return Err("no reason to wait".to_owned()),
            Some(_) => {}
        }
        let names: Vec<HostName> = fleet
            .state
            .membership
            .hosts()
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            change_host(fleet, name.as_str(), random());
        }
    }
    Err(format!("the wave waits: {:?}", wait_reason(fleet)))
}

fn change_host(fleet: &mut SmallFleet, name: &str, random: u8) {
    let state = fleet.host(name).clone();
    let drained = state.stop().map(|stop| stop.drained.is_some());
    let result = match (drained, state.down) {
        (Some(false), None) if random < 128 => fleet.drained(name),
        (Some(true), _) if random < 60 => fleet.up(name, true),
        (_, Some(_)) if random < 40 => fleet.up(name, random < 20),
        (None, None) if random < 4 => fleet.down(name),
        _ => Ok(()),
    };
    // The old incarnation of a host that awaits its reboot does not count as up, which rejects the record.
    let _ = result;
}

proptest! {
    #![proptest_config(config())]

    /// Hosts fail, return late, and restart while they drain. Each wave that the budget permits maintains every
    /// host and gives a reason in each round without a record, and none of its records is rejected.
    #[test]
    fn whole_wave(seed in any::<u64>(), hosts in 6..24_usize, rule in 0..3_usize) {
        let survive = ["none", "rack", "data_centre"][rule];
        let min_available = (hosts / 2 - 2) as u32;
        let mut fleet = fleet(min_available, survive, hosts);
        let start = fleet.now;
        let mut state = u128::from(seed);
        let mut random = || {
            state = state.wrapping_mul(0x2360_ED05_1FC6_5DA4_4385_DF64_9FCC_F645).wrapping_add(99);
            (state >> 100) as u8
        };
        let rounds = run_wave(&mut fleet, &mut random);
        prop_assert!(rounds.is_ok(), "{}", rounds.unwrap_err());
        let closed = fleet.state.membership.waves().get(&wave("w1")).unwrap();
        prop_assert_eq!(closed.status, WaveStatus::Finished);
        for (name, state) in fleet.state.membership.hosts().iter() {
            prop_assert!(state.maintained > start, "{} was not maintained", name);
            prop_assert!(state.version.incarnation.0 > 1, "{} was not restarted", name);
        }
        prop_assert_eq!(closed.done.len(), hosts);
    }
}
