//! Guards against a digest that is rebuilt wrongly from its changes.

mod support;

use {
    goldcreststall_peers::wire::{
        DigestChange, DigestContent, DigestDecoder, DigestEncoder, Frame, Hello, RawDigest,
        ServiceDemand, WireError,
    },
    proptest::prelude::*,
    std::sync::Arc,
    support::{at, config, demand, entry, notice, run_of},
};

fn hello() -> Hello {
    Hello {
        first_sequence: 100,
        from: run_of("e1", 1),
        to: entry("e2"),
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

fn send(encoder: &mut DigestEncoder, content: DigestContent, with_demand: bool) -> RawDigest {
    let raw = encoder.encode(Arc::new(content), with_demand);
    let bytes = Frame::Digest(raw).encode();
    match Frame::decode(bytes.as_ref().into()) {
        Ok(Frame::Digest(raw)) => raw,
        other => panic!("not a digest: {other:?}"),
    }
}

proptest! {
    #![proptest_config(config(256, 52))]

    /// The receiver must know all that the sender last told, with the demand that was told last.
    #[test]
    fn same_content(steps in prop::collection::vec((content(), any::<bool>()), 1..30)) {
        let mut encoder = DigestEncoder::default();
        let mut decoder = DigestDecoder::new(&hello());
        let mut told_demand = Vec::new();
        for (sequence, (content, with_demand)) in (100..).zip(steps) {
            if with_demand {
                told_demand = content.demand().to_vec();
            }
            let notices = content.leaving().to_vec();
            let expected =
                DigestContent::new(content.position(), told_demand.clone(), notices, content.draining());
            let raw = send(&mut encoder, content, with_demand);
            let digest = decoder.decode(raw).unwrap();
            prop_assert_eq!(digest.content, expected);
            prop_assert_eq!(digest.sequence, sequence);
        }
    }

    /// No bytes may panic the decoder of frames.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = DigestDecoder::new(&hello());
        if let Ok(Frame::Digest(raw)) = Frame::decode(bytes.as_slice().into()) {
            let _ = decoder.decode(raw);
        }
    }
}

/// Changes on top of a digest that was lost would leave wrong demand behind.
#[test]
fn lost_digest() {
    let mut encoder = DigestEncoder::default();
    let mut decoder = DigestDecoder::new(&hello());
    let told = |requests| DigestContent::new(None, vec![demand("proof", requests)], vec![], false);
    decoder.decode(send(&mut encoder, told(1), true)).unwrap();
    let _lost = send(&mut encoder, told(2), true);
    let next = send(&mut encoder, told(3), true);
    let gap = WireError::DigestGap {
        expected: 1,
        found: 2,
    };
    assert_eq!(decoder.decode(next), Err(gap));
}

/// A service number that was never named must not be taken for another service.
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

/// Only demand that is not zero may be sent, and nothing that was told before.
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

/// A change that moves the slot split, or one that peers must know within the bound, must not wait.
#[test]
fn notable_change() {
    let mut encoder = DigestEncoder::default();
    let told = |requests, notices, draining| {
        DigestContent::new(
            Some(at(1)),
            vec![demand("proof", requests)],
            notices,
            draining,
        )
    };
    send(&mut encoder, told(80, vec![], false), true);
    let change = |content| encoder.change(&content);
    assert_eq!(change(told(85, vec![], false)), DigestChange::Minor);
    assert_eq!(change(told(91, vec![], false)), DigestChange::Demand);
    assert_eq!(change(told(0, vec![], false)), DigestChange::Demand);
    assert_eq!(
        change(told(80, vec![notice("t1", 1, 1)], false)),
        DigestChange::Urgent
    );
    assert_eq!(change(told(80, vec![], true)), DigestChange::Urgent);
}
