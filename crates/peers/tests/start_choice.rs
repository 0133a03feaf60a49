//! Guards against a starting host that uses an older state than it or its peers had before.

mod support;

use {
    goldcreststall_core::{
        ids::LocalTime,
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{OFFER_TIMEOUT, PeerOffer, Readiness, StartupSource, StartupStep, StateError},
        wire::LogPosition,
    },
    proptest::prelude::*,
    support::{LOG, at, config, entry_name},
};

const START: LocalTime = LocalTime(1_000);

/// Position in a log other than `LOG`.
fn other(next: u64) -> LogPosition {
    LogPosition {
        log: LogIdentity(8),
        next: LogOffset(next),
    }
}

fn source(offers: &[(&str, PeerOffer)], peers: usize) -> StartupSource {
    let mut source = StartupSource::new(START, peers);
    for (peer, offer) in offers {
        source.offer(entry_name(peer), *offer);
    }
    source
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(LogPosition),
    RecordLog(LogIdentity),
    Offer(usize, LogPosition),
    AcceptState(usize, LogPosition),
    Withdraw(usize),
}

fn position() -> impl Strategy<Value = LogPosition> {
    (0..10_u64, 0..4_u32).prop_map(|(next, log)| if log == 0 { other(next) } else { at(next) })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        position().prop_map(Step::Advance),
        position().prop_map(|position| Step::RecordLog(position.log)),
        (0..3_usize, position()).prop_map(|(peer, position)| Step::Offer(peer, position)),
        (0..3_usize, position()).prop_map(|(peer, position)| Step::AcceptState(peer, position)),
        (0..3_usize).prop_map(Step::Withdraw),
    ]
}

proptest! {
    #![proptest_config(config(512, 55))]

    /// Whatever peers offer and deliver, the local state never goes back and never changes its log.
    #[test]
    fn never_back(steps in prop::collection::vec(step(), 1..40)) {
        let mut source = StartupSource::new(START, 3);
        let mut local: Option<LogPosition> = None;
        let names = ["e1", "e2", "e3"].map(entry_name);
        for step in steps {
            match step {
                Step::Advance(position) => drop(source.advance(position)),
                Step::RecordLog(log) => drop(source.record_log_identity(log)),
                Step::Offer(peer, position) => {
                    source.offer(names[peer].clone(), PeerOffer::State(position));
                }
                Step::AcceptState(peer, position) => drop(source.accept_state(&names[peer], position)),
                Step::Withdraw(peer) => source.withdraw(&names[peer]),
            }
            if let (Some(before), Some(now)) = (local, source.local_position()) {
                prop_assert_eq!(before.log, now.log);
                prop_assert!(before.next <= now.next, "{before:?} became {now:?}");
            }
            prop_assert!(local.is_none() || source.local_position().is_some());
            local = source.local_position();
        }
    }
}

/// The state with the highest offset must be chosen, and not before all peers have made their offers or
/// `OFFER_TIMEOUT` has elapsed.
#[test]
fn highest_offset() {
    let offers = [
        ("e1", PeerOffer::State(at(5))),
        ("e2", PeerOffer::State(at(9))),
    ];
    let mut source = source(&offers, 3);
    assert_eq!(source.next_step(START), StartupStep::Wait);
    let step = StartupStep::Fetch {
        peer: entry_name("e2"),
        position: at(9),
    };
    assert_eq!(source.next_step(START + OFFER_TIMEOUT), step);
    source.offer(entry_name("e3"), PeerOffer::Nothing);
    assert_eq!(source.next_step(START), step);
    assert_eq!(
        source.accept_state(&entry_name("e2"), at(7)),
        Err(StateError::LessThanOffered)
    );
    assert_eq!(source.readiness(), Readiness::NotReady);
    assert_eq!(source.accept_state(&entry_name("e1"), at(6)), Ok(()));
    assert_eq!(
        source.next_step(START + OFFER_TIMEOUT),
        StartupStep::Complete
    );
    assert_eq!(
        source.accept_state(&entry_name("e1"), at(6)),
        Err(StateError::NotNewer)
    );
}

/// When peers follow different logs, only the log service can determine the right one.
#[test]
fn other_log() {
    let offers = [
        ("e1", PeerOffer::State(at(5))),
        ("e2", PeerOffer::State(other(9))),
    ];
    let mut source = source(&offers, 2);
    assert_eq!(source.next_step(START), StartupStep::Conflict);
    assert_eq!(
        source.accept_state(&entry_name("e2"), other(9)),
        Err(StateError::UnknownLog)
    );
    source.offer(entry_name("e2"), PeerOffer::State(other(9)));
    source.record_log_identity(LOG).unwrap();
    let step = StartupStep::Fetch {
        peer: entry_name("e1"),
        position: at(5),
    };
    assert_eq!(source.next_step(START), step);
    assert_eq!(
        source.accept_state(&entry_name("e2"), other(9)),
        Err(StateError::OtherLog)
    );
    assert_eq!(source.accept_state(&entry_name("e1"), at(5)), Ok(()));
    assert_eq!(
        source.record_log_identity(LogIdentity(8)),
        Err(StateError::OtherLog)
    );
    assert_eq!(source.local_position(), Some(at(5)));
}

/// Nothing may be served without a state, and with the state of a peer nothing that needs the log.
#[test]
fn readiness_levels() {
    let mut source = source(&[], 1);
    source.set_reads_log(true);
    assert!(!source.readiness().can_serve_traffic());
    source.accept_state(&entry_name("e1"), at(5)).unwrap();
    assert!(source.readiness().can_serve_traffic());
    assert!(!source.readiness().can_use_log());
    source.advance(at(6)).unwrap();
    source.set_reads_log(true);
    assert!(source.readiness().can_use_log());
    assert_eq!(source.advance(at(5)), Err(StateError::NotNewer));
}
