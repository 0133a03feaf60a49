//! Guards against delegates that get more runners than their size allows, against assignments that change for all runners
//! when one delegate comes or goes, and against commands for delegates that are silent.

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::jobs::JobId,
    goldcreststall_node::delegates::{DelegateKey, DelegateProfile, DelegateTable},
};

const RUNNERS: u32 = 600;
const START: LocalTime = LocalTime(10_000);
const SILENCE: Millis = Millis(600);

fn profile(number: u32, data_centre: &str, cpu: u32) -> DelegateProfile {
    DelegateProfile {
        name: format!("entry-{number}"),
        data_centre: data_centre.to_owned(),
        cpu,
        link_mbps: 100,
    }
}

/// Returns a table of `count` delegates of equal size in the data centre "a".
fn equal_delegates(count: u32) -> (DelegateTable, Vec<DelegateKey>) {
    let mut table = DelegateTable::default();
    let keys = (0..count).map(|number| table.insert(profile(number, "a", 500), START));
    let keys = keys.collect();
    (table, keys)
}

fn assignments(table: &DelegateTable, now: LocalTime) -> Vec<Option<DelegateKey>> {
    let runner = |number| table.for_runner(&format!("runner-{number}"), "a", now);
    (0..RUNNERS).map(runner).collect()
}

fn share(assignments: &[Option<DelegateKey>], key: DelegateKey) -> usize {
    let is_key = |other: &&Option<DelegateKey>| **other == Some(key);
    assignments.iter().filter(is_key).count()
}

#[test]
fn share_by_size() {
    let mut table = DelegateTable::default();
    let large = table.insert(profile(1, "a", 500), START);
    let small = table.insert(profile(2, "a", 100), START);
    let shares = assignments(&table, START);
    // Five sixths of 600 runners are 500.
    let large_share = share(&shares, large);
    assert!((450..=550).contains(&large_share), "{large_share}");
    assert_eq!(large_share + share(&shares, small), RUNNERS as usize);
}

#[test]
fn narrow_link_counts() {
    let narrow = DelegateProfile {
        link_mbps: 2,
        ..profile(1, "a", 500)
    };
    assert!(narrow.weight() * 10 <= profile(2, "a", 500).weight());
}

#[test]
fn own_data_centre_first() {
    let mut table = DelegateTable::default();
    let local = table.insert(profile(1, "a", 100), START);
    let remote = table.insert(profile(2, "b", 10_000), START);
    assert_eq!(table.for_runner("r1", "a", START), Some(local));
    assert_eq!(table.for_runner("r1", "b", START), Some(remote));
    assert!(table.for_runner("r1", "c", START).is_some());
}

/// When a delegate ends, the runners of all others must keep theirs, or every connection would be opened anew.
#[test]
fn others_keep_their_runners() {
    let (mut table, keys) = equal_delegates(6);
    let before = assignments(&table, START);
    table.remove(keys[2]);
    let after = assignments(&table, START);
    for (old, new) in before.iter().zip(&after) {
        if *old != Some(keys[2]) {
            assert_eq!(old, new);
        }
        assert_ne!(*new, Some(keys[2]));
    }
}

#[test]
fn silent_or_leaving_gets_none() {
    let (mut table, keys) = equal_delegates(3);
    let later = START + SILENCE;
    assert!(assignments(&table, later).iter().all(Option::is_none));
    table.record_contact(keys[0], false, later);
    table.record_contact(keys[1], true, later);
    let shares = assignments(&table, later);
    assert_eq!(share(&shares, keys[0]), RUNNERS as usize);
    assert_eq!(table.for_job(JobId(7), later), Some(keys[0]));
}

/// The text of a job is sent once when its starts take one way; runners accept a limited number of connections.
#[test]
fn starts_from_few() {
    let mut table = DelegateTable::default();
    for number in 0..80 {
        table.insert(profile(number, "a", 120), START);
    }
    let large = (80..90).map(|number| table.insert(profile(number, "a", 500), START));
    let large: Vec<DelegateKey> = large.collect();
    let mut used: Vec<DelegateKey> = (0..500)
        .filter_map(|job| table.for_job(JobId(job), START))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() <= 12, "{} delegates send starts", used.len());
    assert!(large.iter().all(|key| used.contains(key)));
}
