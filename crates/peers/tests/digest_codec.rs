//! Guards against a digest that is reconstructed incorrectly from its changes.

mod support;

use {
    goldcreststall_peers::wire::{
        DigestChange, DigestContent, DigestDecoder, DigestEncoder, Frame, Hello, RawDigest,
        ServiceDemand, WireError,
    },
    proptest::prelude::*,
    std::{ops::Range, sync::Arc},
    support::{at, config, demand, entry_id, entry_name, notice},
};

/// Number of hosts of each list that a digest may name.
const MAX_HOSTS: usize = 65_536;

fn hello() -> Hello {
    Hello {
        first_sequence: 100,
        from: entry_id("e1", 1),
        to: entry_name("e2"),
    }
}

fn content() -> impl Strategy<Value = DigestContent> {
    let rows = prop::collection::vec((0..12_u32, 0..5_u32), 0..12);
    let notices = prop::collection::vec((0..6_u32, 0..3_u64, 0..3_u64), 0..6);
    (0..50_u64, rows, notices, any::<bool>()).prop_map(|(next, rows, notices, draining)| {
        let mut rows: Vec<ServiceDemand> = rows
            .into_iter()
            .map(|(service, requests)| demand(&format!("s{service}"), requests))
            .collect();
        rows.sort();
        rows.dedup_by(|left, right| left.service == right.service);
        let notices = notices
            .into_iter()
            .map(|(host, incarnation, basis)| notice(&format!("t{host}"), incarnation, basis));
        DigestContent::new(Some(at(next)), rows, notices.collect(), draining)
    })
}

fn send(encoder: &mut DigestEncoder, content: DigestContent, include_demand: bool) -> RawDigest {
    let raw = encoder.encode(Arc::new(content), include_demand);
    let bytes = Frame::Digest(raw).encode();
    match Frame::decode(bytes.as_ref().into()) {
        Ok(Frame::Digest(raw)) => raw,
        other => panic!("not a digest: {other:?}"),
    }
}

proptest! {
    #![proptest_config(config(256, 52))]

    /// The receiver must have the content last sent, with the demand last sent.
    #[test]
    fn same_content(steps in prop::collection::vec((content(), any::<bool>()), 1..30)) {
        let mut encoder = DigestEncoder::default();
        let mut decoder = DigestDecoder::new(&hello());
        let mut sent_demand = Vec::new();
        for (sequence, (content, include_demand)) in (100..).zip(steps) {
            if include_demand {
                sent_demand = content.demand().to_vec();
            }
            let notices = content.leaving().to_vec();
            let expected =
                DigestContent::new(content.position(), sent_demand.clone(), notices, content.draining());
            let raw = send(&mut encoder, content, include_demand);
            let digest = decoder.decode(raw).unwrap();
            prop_assert_eq!(digest.content, expected);
            prop_assert_eq!(digest.sequence, sequence);
        }
    }

    /// No byte sequence may cause a panic in the decoders of frames and digests.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = DigestDecoder::new(&hello());
        if let Ok(Frame::Digest(raw)) = Frame::decode(bytes.as_slice().into()) {
            let _ = decoder.decode(raw);
        }
    }
}

/// Changes that follow a lost digest must be rejected, because they would leave wrong demand behind.
#[test]
fn lost_digest() {
    let mut encoder = DigestEncoder::default();
    let mut decoder = DigestDecoder::new(&hello());
    let content =
        |requests| DigestContent::new(None, vec![demand("proof", requests)], vec![], false);
    decoder
        .decode(send(&mut encoder, content(1), true))
        .unwrap();
    let _lost = send(&mut encoder, content(2), true);
    let next = send(&mut encoder, content(3), true);
    let gap = WireError::DigestGap {
        expected: 1,
        found: 2,
    };
    assert_eq!(decoder.decode(next), Err(gap));
}

/// Returns a content with the notices and the busy state of the numbered hosts.
fn host_content(hosts: Range<usize>, basis: u64) -> DigestContent {
    let names = hosts.map(|number| format!("t{number:06}"));
    let notices: Vec<_> = names.map(|name| notice(&name, 1, basis)).collect();
    let busy = notices.iter().map(|notice| notice.host.clone()).collect();
    DigestContent::new(None, Vec::new(), notices, false).with_busy(busy)
}

/// Hosts that are replaced or changed are no additional ones: counted as such, they closed the connection although the
/// peer holds no more than the limit. More than the limit must be rejected.
#[test]
fn host_limit() {
    let mut encoder = DigestEncoder::default();
    let mut decoder = DigestDecoder::new(&hello());
    let mut decode = |hosts, basis| {
        let raw = send(&mut encoder, host_content(hosts, basis), false);
        decoder.decode(raw)
    };
    let first = decode(0..MAX_HOSTS, 1);
    assert_eq!(first.unwrap().content, host_content(0..MAX_HOSTS, 1));
    let changed = decode(0..MAX_HOSTS, 2);
    assert_eq!(changed.unwrap().content, host_content(0..MAX_HOSTS, 2));
    let replaced = decode(1..MAX_HOSTS + 1, 2);
    let expected = host_content(1..MAX_HOSTS + 1, 2);
    assert_eq!(replaced.unwrap().content, expected);
    let result = decode(0..MAX_HOSTS + 1, 2).map(drop);
    assert!(
        matches!(result, Err(WireError::OutOfRange { .. })),
        "{result:?}"
    );
}

/// A service number that was never assigned to a name must not be taken for another service.
#[test]
fn unnamed_service() {
    let mut decoder = DigestDecoder::new(&hello());
    let raw = RawDigest {
        demand: vec![3, 1],
        services: vec!["proof".to_owned()],
        ..RawDigest::default()
    };
    let result = decoder.decode(raw);
    assert!(
        matches!(result, Err(WireError::OutOfRange { .. })),
        "{result:?}"
    );
}

/// Only nonzero demand may be sent, and nothing that was sent before.
#[test]
fn few_bytes() {
    let mut encoder = DigestEncoder::default();
    let rows: Vec<_> = (0..48)
        .map(|number| demand(&format!("s{number}"), number % 2))
        .collect();
    let busy = DigestContent::new(Some(at(1_000_000)), rows, vec![notice("t1", 1, 1)], false);
    let raw = send(&mut encoder, busy.clone(), true);
    assert_eq!((raw.services.len(), raw.leaving.len()), (24, 1));
    let again = send(&mut encoder, busy.clone(), true);
    let quiet = RawDigest {
        number: 1,
        ..RawDigest::default()
    };
    assert_eq!(again, quiet);
    assert_eq!(encoder.change(&busy), DigestChange::Minor);
}

/// A change that affects the division of slots, or one that peers must receive within a time bound, must not
/// wait.
#[test]
fn notable_change() {
    let mut encoder = DigestEncoder::default();
    let content = |requests, notices, draining| {
        DigestContent::new(
            Some(at(1)),
            vec![demand("proof", requests)],
            notices,
            draining,
        )
    };
    send(&mut encoder, content(80, vec![], false), true);
    let change = |content| encoder.change(&content);
    assert_eq!(change(content(85, vec![], false)), DigestChange::Minor);
    assert_eq!(change(content(91, vec![], false)), DigestChange::Demand);
    assert_eq!(change(content(0, vec![], false)), DigestChange::Demand);
    assert_eq!(
        change(content(80, vec![notice("t1", 1, 1)], false)),
        DigestChange::Urgent
    );
    assert_eq!(change(content(80, vec![], true)), DigestChange::Urgent);
}
