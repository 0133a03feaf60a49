//! Guards against a starting host that enforces an older state than it or its peers had.

mod support;

use {
    goldcreststall_core::{
        ids::LocalTime,
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{
            OFFER_TIMEOUT, PeerOffer, Readiness, StartupSource, StartupStep, StateRefusal,
        },
        wire::LogPosition,
    },
    proptest::prelude::*,
    support::{LOG, at, config, entry},
};

const START: LocalTime = LocalTime(1_000);

fn other(next: u64) -> LogPosition {
    LogPosition {
        log: LogIdentity(8),
        next: LogOffset(next),
    }
}

fn source(offers: &[(&str, PeerOffer)], peers: usize) -> StartupSource {
    let mut source = StartupSource::new(START, peers);
    for (peer, offer) in offers {
        source.offer(entry(peer), *offer);
    }
    source
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(LogPosition),
    LogIs(LogIdentity),
    Offer(usize, LogPosition),
    Take(usize, LogPosition),
    Withdraw(usize),
}

fn position() -> impl Strategy<Value = LogPosition> {
    (0..10_u64, 0..4_u32).prop_map(|(next, log)| if log == 0 { other(next) } else { at(next) })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        position().prop_map(Step::Advance),
        position().prop_map(|position| Step::LogIs(position.log)),
        (0..3_usize, position()).prop_map(|(peer, position)| Step::Offer(peer, position)),
        (0..3_usize, position()).prop_map(|(peer, position)| Step::Take(peer, position)),
        (0..3_usize).prop_map(Step::Withdraw),
    ]
}

proptest! {
    #![proptest_config(config(512, 55))]

    /// Whatever peers offer and deliver, the own state never goes back and never changes its log.
    #[test]
    fn never_back(steps in prop::collection::vec(step(), 1..40)) {
        let mut source = StartupSource::new(START, 3);
        let mut own: Option<LogPosition> = None;
        let names = ["e1", "e2", "e3"].map(entry);
        for step in steps {
            match step {
                Step::Advance(position) => drop(source.advance(position)),
                Step::LogIs(log) => drop(source.log_is(log)),
                Step::Offer(peer, position) => {
                    source.offer(names[peer].clone(), PeerOffer::State(position));
                }
                Step::Take(peer, position) => drop(source.take(&names[peer], position)),
                Step::Withdraw(peer) => source.withdraw(&names[peer]),
            }
            if let (Some(before), Some(now)) = (own, source.own()) {
                prop_assert_eq!(before.log, now.log);
                prop_assert!(before.next <= now.next, "{before:?} became {now:?}");
            }
            prop_assert!(own.is_none() || source.own().is_some());
            own = source.own();
        }
    }
}

/// The highest offset must win, and the choice must not fall before all peers were asked.
#[test]
fn highest_offset() {
    let offers = [
        ("e1", PeerOffer::State(at(5))),
        ("e2", PeerOffer::State(at(9))),
    ];
    let mut source = source(&offers, 3);
    assert_eq!(source.next_step(START), StartupStep::Wait);
    let step = StartupStep::Fetch {
        peer: entry("e2"),
        position: at(9),
    };
    assert_eq!(source.next_step(START + OFFER_TIMEOUT), step);
    source.offer(entry("e3"), PeerOffer::Nothing);
    assert_eq!(source.next_step(START), step);
    assert_eq!(
        source.take(&entry("e2"), at(7)),
        Err(StateRefusal::LessThanOffered)
    );
    assert_eq!(source.readiness(), Readiness::NotReady);
    assert_eq!(source.take(&entry("e1"), at(6)), Ok(()));
    assert_eq!(
        source.next_step(START + OFFER_TIMEOUT),
        StartupStep::Settled
    );
    assert_eq!(
        source.take(&entry("e1"), at(6)),
        Err(StateRefusal::NotNewer)
    );
}

/// When peers follow different logs, only the log service can tell which one is right.
#[test]
fn other_log() {
    let offers = [
        ("e1", PeerOffer::State(at(5))),
        ("e2", PeerOffer::State(other(9))),
    ];
    let mut source = source(&offers, 2);
    assert_eq!(source.next_step(START), StartupStep::Conflict);
    assert_eq!(
        source.take(&entry("e2"), other(9)),
        Err(StateRefusal::UnknownLog)
    );
    source.offer(entry("e2"), PeerOffer::State(other(9)));
    source.log_is(LOG).unwrap();
    let step = StartupStep::Fetch {
        peer: entry("e1"),
        position: at(5),
    };
    assert_eq!(source.next_step(START), step);
    assert_eq!(
        source.take(&entry("e2"), other(9)),
        Err(StateRefusal::OtherLog)
    );
    assert_eq!(source.take(&entry("e1"), at(5)), Ok(()));
    assert_eq!(source.log_is(LogIdentity(8)), Err(StateRefusal::OtherLog));
    assert_eq!(source.own(), Some(at(5)));
}

/// Nothing may be served without a state, and nothing that needs the log with the state of a peer.
#[test]
fn readiness_levels() {
    let mut source = source(&[], 1);
    source.set_reads_log(true);
    assert!(!source.readiness().serves_traffic());
    source.take(&entry("e1"), at(5)).unwrap();
    assert!(source.readiness().serves_traffic());
    assert!(!source.readiness().uses_log());
    source.advance(at(6)).unwrap();
    source.set_reads_log(true);
    assert!(source.readiness().uses_log());
    assert_eq!(source.advance(at(5)), Err(StateRefusal::NotNewer));
}
