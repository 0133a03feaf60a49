//! Guards against waves that are not completed in their time although other pools have the hosts that they need, and
//! against hosts that a wave takes without need or keeps.

mod fleet;
mod virtual_fleet;

use {
    fleet::{POOL, SPARE, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{jobs::StepSpec, pools::WaveStage, runners::Capacity},
    virtual_fleet::{VirtualFleet, pulse, serving},
};

const DURATION: Millis = Millis(26_000);
const SPARE_HOSTS: usize = 12;

/// Returns a fleet of 60 hosts whose long-running work uses about `share` percent of the memory of its pool.
fn fleet_with_memory(share: u32) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(&[(POOL, 44), ("bindery", 4), (SPARE, SPARE_HOSTS)]);
    let memory = 44 * 16_000 * share / 100;
    let mut used = 0;
    for mem_mb in [3_000, 5_000, 2_000, 7_000, 4_000].iter().cycle() {
        if used >= memory {
            break;
        }
        used += 6 * mem_mb;
        fleet.submit(serving(6, *mem_mb));
    }
    fleet.pass_time(12_000);
    fleet
}

/// Requests a wave of every second host, with two fifths of these at once, and lets its time pass while short work comes in
/// pulses. Returns its hosts.
fn pass_wave(fleet: &mut VirtualFleet) -> Vec<String> {
    fleet.start_measuring();
    let hosts: Vec<String> = fleet.hosts.iter().map(|host| host.name.clone()).collect();
    let due: Vec<String> = hosts.into_iter().step_by(2).collect();
    fleet.request_wave(due.clone(), (due.len() * 2 / 5) as u32, DURATION);
    for quarter in 0..DURATION.0 / 250 {
        if quarter % 32 < 12 {
            fleet.submit(pulse(fleet.hosts.len() as u32 / 6));
        }
        fleet.pass_time(250);
    }
    due
}

/// Long-running work fills the memory of its pool, while its processors and all spare hosts are idle: no host of the wave
/// can be emptied unless the pool gets hosts for it. Each step may miss one work item at a time, so that the last ones of
/// a step need the end of the wave for themselves. The wave gives the hosts back.
#[test]
fn memory_is_full() {
    let mut fleet = fleet_with_memory(90);
    let due = pass_wave(&mut fleet);
    let is_left = |name: &&String| !fleet.is_maintained(name);
    let left: Vec<&String> = due.iter().filter(is_left).collect();
    assert_eq!(left, Vec::<&String>::new(), "hosts are left");
    assert_eq!(fleet.completed_early, 0, "hosts were left at the report");
    assert!(fleet.completed_at.is_some(), "the wave was not reported");
    assert!(fleet.most_away <= due.len() * 2 / 5);
    assert_eq!(fleet.misses, 0, "more work was away than allowed");
    let lent = fleet.moves_to(POOL);
    assert!((1..=10).contains(&lent), "{lent} hosts were taken");
    fleet.pass_time(10_000);
    assert_eq!(fleet.pool_size(SPARE), SPARE_HOSTS);
}

/// Guards against hosts that are taken for a wave whose work has room.
#[test]
fn room_is_enough() {
    let mut fleet = fleet_with_memory(40);
    pass_wave(&mut fleet);
    assert!(fleet.completed_at.is_some());
    assert_eq!(fleet.moves_to(POOL), 0);
}

/// Guards against hosts that are taken for work which they may not be allowed to run.
#[test]
fn label_of_no_spare_host() {
    let mut fleet = VirtualFleet::new(&[(POOL, 4), ("bindery", 4), (SPARE, 4)]);
    fleet.label(0, "fast");
    fleet.submit(StepSpec {
        required_label: Some("fast".to_owned()),
        ..serving(1, 1_000)
    });
    fleet.pass_time(4_000);
    pass_wave(&mut fleet);
    assert_eq!(fleet.moves_to(POOL), 0);
}

fn stuck(hosts: usize, mem_mb: u32) -> WaveStage {
    let capacity = |mem_mb| Capacity {
        mem_mb,
        ..fleet::runner("r").capacity
    };
    let used = Capacity {
        cpu: step(1, 500).cpu,
        ..capacity(mem_mb)
    };
    WaveStage {
        time_left: DURATION,
        cap: 12,
        turns: 1,
        under_way: 0,
        stuck: vec![used; hosts],
        host_capacity: capacity(16_000),
    }
}

/// Guards against more hosts than the rest of a wave needs: those of one batch serve the next, and work of several hosts may
/// fit on one.
#[test]
fn hosts_of_one_batch() {
    let missing = |stage: WaveStage| stage.missing_hosts();
    assert_eq!(missing(stuck(12, 15_000)), 5);
    assert_eq!(missing(stuck(12, 5_000)), 2);
    let urgent = WaveStage {
        time_left: Millis(0),
        ..stuck(20, 15_000)
    };
    assert_eq!(missing(urgent), 12, "no more than are away at once");
    let under_way = WaveStage {
        under_way: 5,
        ..stuck(7, 15_000)
    };
    assert_eq!(missing(under_way), 0);
    let in_turns = WaveStage {
        turns: 3,
        ..stuck(12, 15_000)
    };
    assert_eq!(missing(in_turns), 8);
    assert_eq!(missing(stuck(3, 17_000)), 0, "larger than any host");
    assert_eq!(missing(stuck(0, 0)), 0);
}
