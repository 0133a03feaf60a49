//! Guards against a late digest that replaces a newer one or keeps a silent peer live.

mod support;

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_peers::{
        decisions::{PeerDemand, PeerTable, ReceiveResult, SILENCE_TIMEOUT},
        wire::{Digest, DigestContent},
    },
    proptest::prelude::*,
    support::{at, config, demand, entry_id, entry_name},
};

fn digest(name: &str, incarnation: u64, sequence: u64) -> Digest {
    // The demand identifies the digest that is in force.
    let requests = (incarnation * 1_000 + sequence) as u32;
    let rows = vec![demand("proof", requests)];
    Digest {
        content: DigestContent::new(Some(at(sequence)), rows, Vec::new(), false),
        from: entry_id(name, incarnation),
        sequence,
    }
}

fn requests(table: &PeerTable, now: LocalTime) -> Vec<u32> {
    let rows = table.demand(now, &demand("proof", 1).service);
    rows.into_iter().map(|row| row.requests).collect()
}

proptest! {
    #![proptest_config(config(256, 51))]

    /// Regardless of loss, repetition and reordering, the newest digest that arrived is in force, and the peer
    /// is live exactly while that digest is younger than `SILENCE_TIMEOUT`.
    #[test]
    fn any_order(deliveries in prop::collection::vec((1..4_u64, 0..20_u64, 0..900_u64), 1..80)) {
        let mut table = PeerTable::default();
        let mut now = LocalTime(10_000);
        let mut newest = (0, 0);
        let mut last_contact = now;
        for (incarnation, sequence, pause) in deliveries {
            now = now + Millis(pause);
            let result = table.receive(now, digest("e1", incarnation, sequence));
            let is_newer = (incarnation, sequence) > newest;
            prop_assert_eq!(result != ReceiveResult::Stale, is_newer);
            if is_newer {
                newest = (incarnation, sequence);
                last_contact = now;
            }
            let live = now.since(last_contact) < SILENCE_TIMEOUT;
            prop_assert_eq!(table.is_live(now, &entry_name("e1")), live);
            let silence = table.silence(now, &entry_name("e1"));
            prop_assert_eq!(silence, Some(now.since(last_contact)));
            let expected = live.then_some((newest.0 * 1_000 + newest.1) as u32);
            prop_assert_eq!(requests(&table, now), Vec::from_iter(expected));
        }
    }
}

/// The demand of a silent peer must not count in the division of slots, and the peer must not be eligible to
/// hold duties.
#[test]
fn silent_peer() {
    let mut table = PeerTable::default();
    let start = LocalTime(0);
    table.receive(start, digest("e1", 1, 1));
    table.receive(start + Millis(100), digest("e2", 1, 2));
    let later = start + SILENCE_TIMEOUT;
    let live: Vec<_> = table.live(later).cloned().collect();
    assert_eq!(live, [entry_id("e2", 1)]);
    let services = table.demand_by_service(later);
    let rows = services.get(&demand("proof", 1).service).unwrap();
    let entry = entry_name("e2");
    let requests = 1_002;
    assert_eq!(rows, &[PeerDemand { entry, requests }]);
    assert_eq!(table.positions(later).len(), 1);
}

/// A restarted peer numbers its digests from 0 again; those of its earlier incarnation must not replace them.
#[test]
fn restarted_peer() {
    let mut table = PeerTable::default();
    let now = LocalTime(0);
    assert_eq!(
        table.receive(now, digest("e1", 1, 500)),
        ReceiveResult::NewIncarnation
    );
    assert_eq!(
        table.receive(now, digest("e1", 2, 0)),
        ReceiveResult::NewIncarnation
    );
    assert_eq!(
        table.receive(now, digest("e1", 1, 501)),
        ReceiveResult::Stale
    );
    assert_eq!(requests(&table, now), [2_000]);
}
