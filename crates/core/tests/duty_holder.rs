//! Guards against duties that no entry host performs, and against duties on entry hosts that are cut off from the
//! log.

use {
    goldcreststall_core::{
        duties::{Duty, DutyAssignments, LOG_SILENCE_TIMEOUT, PEER_SILENCE_TIMEOUT},
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, PoolName},
    },
    std::collections::BTreeMap,
};

const NOW: LocalTime = LocalTime(1_000_000);

fn entry(index: usize) -> EntryId {
    EntryId {
        incarnation: Incarnation(1),
        name: EntryName::try_from(format!("e{index}")).unwrap(),
    }
}

fn duties() -> Vec<Duty> {
    let pools = (0..48).map(|index| PoolName::try_from(format!("p{index}")).unwrap());
    pools
        .flat_map(|pool| [Duty::Placement(pool.clone()), Duty::Waves(pool)])
        .collect()
}

/// Returns the assignments of entry host `local` of seven, which had contact with all others at `last_contact`.
fn assignments(local: usize, last_contact: LocalTime) -> DutyAssignments {
    let mut assignments = DutyAssignments::new(entry(local));
    assignments.record_log_read(last_contact);
    (0..7).for_each(|index| assignments.record_contact(last_contact, &entry(index), true));
    assignments
}

/// Entry hosts with contact to each other choose the same holder, and the duties are spread.
#[test]
fn same_holder() {
    let all_assignments: Vec<_> = (0..7).map(|local| assignments(local, NOW)).collect();
    let mut load: BTreeMap<EntryName, usize> = BTreeMap::new();
    for duty in duties() {
        let holders: Vec<_> = all_assignments
            .iter()
            .map(|assignments| assignments.holder(NOW, &duty))
            .collect();
        assert!(
            holders.windows(2).all(|pair| pair[0] == pair[1]),
            "{duty}: {holders:?}"
        );
        let holding = all_assignments
            .iter()
            .filter(|assignments| assignments.holds(NOW, &duty));
        assert_eq!(holding.count(), 1, "{duty}");
        *load.entry(holders[0].unwrap().clone()).or_default() += 1;
    }
    // 96 duties on 7 entry hosts are 14 on average.
    assert_eq!(load.len(), 7);
    assert!(
        load.values().all(|count| (5..=25).contains(count)),
        "{load:?}"
    );
}

/// The duties of a silent entry host move after two seconds, and only its duties move.
#[test]
fn silent_peer() {
    let mut assignments = assignments(0, NOW);
    let before: Vec<_> = duties()
        .iter()
        .map(|duty| assignments.holder(NOW, duty).cloned())
        .collect();
    let later = NOW + PEER_SILENCE_TIMEOUT;
    assignments.record_log_read(later);
    (0..6).for_each(|index| assignments.record_contact(later, &entry(index), true));
    let gone = Some(entry(6).name);
    for (duty, before) in duties().iter().zip(before) {
        let after = assignments.holder(later, duty).cloned();
        assert_ne!(after, gone);
        assert!(
            before == gone || before == after,
            "{duty} moved without need"
        );
    }
}

/// An entry host that cannot read the log, or has just resumed from a freeze, performs no duty.
#[test]
fn cut_off() {
    let fresh = DutyAssignments::new(entry(0));
    assert!(
        duties()
            .iter()
            .all(|duty| fresh.holder(NOW, duty).is_none()),
        "nothing was read yet"
    );
    let assignments = assignments(0, NOW);
    let later = NOW + LOG_SILENCE_TIMEOUT;
    assert!(
        duties()
            .iter()
            .any(|duty| assignments.holds(later - Millis(1), duty))
    );
    assert!(duties().iter().all(|duty| !assignments.holds(later, duty)));
}

/// A peer that is cut off from the log or shuts down holds no duty although there is contact with it.
#[test]
fn ineligible_peer() {
    let mut assignments = assignments(0, NOW);
    (1..7).for_each(|index| assignments.record_contact(NOW, &entry(index), false));
    assert!(duties().iter().all(|duty| assignments.holds(NOW, duty)));
    assignments.drain();
    assert!(
        duties()
            .iter()
            .all(|duty| assignments.holder(NOW, duty).is_none())
    );
}

/// A late message of an older incarnation must not make the newer one eligible.
#[test]
fn older_run() {
    let mut assignments = assignments(0, NOW);
    let newer = EntryId {
        incarnation: Incarnation(2),
        ..entry(1)
    };
    assignments.record_contact(NOW, &newer, false);
    assignments.record_contact(NOW, &entry(1), true);
    let holders = duties();
    let mut holders = holders.iter().map(|duty| assignments.holder(NOW, duty));
    assert!(holders.all(|holder| holder != Some(&newer.name)));
}
