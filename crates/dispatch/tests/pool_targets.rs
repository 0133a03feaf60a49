//! Guards against demand that shifts between pools and finds no hosts: a pool whose period of demand has ended must
//! give up its hosts, even while it has late work.

use {
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        pools::{PoolStats, plan_pools},
        runners::Capacity,
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const SEED: u64 = 20_261_204;

fn pool(name: &str, hosts: usize, demand: u64, late: u64) -> PoolStats {
    PoolStats {
        name: name.to_owned(),
        hosts,
        demand_cpu: demand,
        late_cpu: late,
        host_capacity: Capacity {
            cpu: 32_000,
            mem_mb: 64_000,
            gpu: 0,
        },
        busy: (0..hosts as u32)
            .map(|host| (host, format!("{name}{host}")))
            .collect(),
        ..PoolStats::default()
    }
}

#[test]
fn late_work_yields() {
    let plan = plan_pools(&[
        pool("ended", 34, 64_000, 900_000),
        pool("begins", 3, 480_000, 0),
    ]);
    assert!(
        plan.drains.len() >= 15,
        "only {} hosts are drained",
        plan.drains.len()
    );
    let from_ended = plan.drains.iter().all(|host| host.starts_with("ended"));
    assert!(from_ended);
}

#[test]
fn empty_before_busy() {
    let mut ended = pool("ended", 12, 0, 0);
    ended.movable = vec![(LocalTime(5), "idle".to_owned())];
    let plan = plan_pools(&[ended, pool("begins", 4, 112_000, 0)]);
    let moved: Vec<&str> = plan
        .moves
        .iter()
        .map(|host_move| host_move.host.as_str())
        .collect();
    assert_eq!(moved, ["idle"]);
}

#[test]
fn no_need_no_move() {
    let plan = plan_pools(&[pool("one", 9, 100_000, 0), pool("two", 12, 100_000, 0)]);
    assert!(plan.moves.is_empty() && plan.drains.is_empty());
}

/// A long-running work item must find a host without another one of its step when it is restarted.
#[test]
fn spread_is_kept() {
    let mut serves = pool("serves", 21, 50_000, 0);
    serves.spread = 20;
    let plan = plan_pools(&[serves, pool("begins", 4, 300_000, 0)]);
    assert!(plan.moves.is_empty() && plan.drains.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No pool gives up more hosts than it has, no host is given up twice, and no pool both gives up and receives
    /// hosts.
    #[test]
    fn hosts_are_kept(sizes in prop::collection::vec((0_usize..30, 0_u64..2_000_000, 0_u64..500_000), 2..6)) {
        let pools: Vec<PoolStats> = sizes
            .iter()
            .enumerate()
            .map(|(index, (hosts, demand, late))| pool(&format!("p{index}-"), *hosts, *demand, *late))
            .collect();
        let plan = plan_pools(&pools);
        let mut donated: Vec<&str> = plan.drains.iter().map(String::as_str).collect();
        donated.extend(plan.moves.iter().map(|host_move| host_move.host.as_str()));
        let count = donated.len();
        donated.sort_unstable();
        donated.dedup();
        prop_assert_eq!(donated.len(), count);
        for host_move in &plan.moves {
            let prefix = format!("{}-", host_move.pool.trim_end_matches('-'));
            prop_assert!(!donated.iter().any(|host| host.starts_with(&prefix)));
        }
    }
}
