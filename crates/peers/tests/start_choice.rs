//! Guards against a starting host that enforces an older state than it or its peers had.

mod support;

use {
    goldcreststall_core::{
        ids::LocalTime,
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{PeerOffer, Readiness, START_PATIENCE, StartChoice, StartStep, StateRefusal},
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

fn choice(offers: &[(&str, PeerOffer)], peers: usize) -> StartChoice {
    let mut choice = StartChoice::new(START, peers);
    for (peer, offer) in offers {
        choice.offer(entry(peer), *offer);
    }
    choice
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
        let mut choice = StartChoice::new(START, 3);
        let mut own: Option<LogPosition> = None;
        let names = ["e1", "e2", "e3"].map(entry);
        for step in steps {
            match step {
                Step::Advance(position) => drop(choice.advance(position)),
                Step::LogIs(log) => drop(choice.log_is(log)),
                Step::Offer(peer, position) => {
                    choice.offer(names[peer].clone(), PeerOffer::State(position));
                }
                Step::Take(peer, position) => drop(choice.take(&names[peer], position)),
                Step::Withdraw(peer) => choice.withdraw(&names[peer]),
            }
            if let (Some(before), Some(now)) = (own, choice.own()) {
                prop_assert_eq!(before.log, now.log);
                prop_assert!(before.next <= now.next, "{before:?} became {now:?}");
            }
            prop_assert!(own.is_none() || choice.own().is_some());
            own = choice.own();
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
    let mut choice = choice(&offers, 3);
    assert_eq!(choice.next_step(START), StartStep::Wait);
    let step = StartStep::Fetch {
        peer: entry("e2"),
        position: at(9),
    };
    assert_eq!(choice.next_step(START + START_PATIENCE), step);
    choice.offer(entry("e3"), PeerOffer::Nothing);
    assert_eq!(choice.next_step(START), step);
    assert_eq!(
        choice.take(&entry("e2"), at(7)),
        Err(StateRefusal::LessThanOffered)
    );
    assert_eq!(choice.readiness(), Readiness::NotReady);
    assert_eq!(choice.take(&entry("e1"), at(6)), Ok(()));
    assert_eq!(choice.next_step(START + START_PATIENCE), StartStep::Settled);
    assert_eq!(
        choice.take(&entry("e1"), at(6)),
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
    let mut choice = choice(&offers, 2);
    assert_eq!(choice.next_step(START), StartStep::Conflict);
    assert_eq!(
        choice.take(&entry("e2"), other(9)),
        Err(StateRefusal::UnknownLog)
    );
    choice.offer(entry("e2"), PeerOffer::State(other(9)));
    choice.log_is(LOG).unwrap();
    let step = StartStep::Fetch {
        peer: entry("e1"),
        position: at(5),
    };
    assert_eq!(choice.next_step(START), step);
    assert_eq!(
        choice.take(&entry("e2"), other(9)),
        Err(StateRefusal::OtherLog)
    );
    assert_eq!(choice.take(&entry("e1"), at(5)), Ok(()));
    assert_eq!(choice.log_is(LogIdentity(8)), Err(StateRefusal::OtherLog));
    assert_eq!(choice.own(), Some(at(5)));
}

/// Nothing may be served without a state, and nothing that needs the log with the state of a peer.
#[test]
fn readiness_levels() {
    let mut choice = choice(&[], 1);
    choice.set_reads_log(true);
    assert!(!choice.readiness().serves_traffic());
    choice.take(&entry("e1"), at(5)).unwrap();
    assert!(choice.readiness().serves_traffic());
    assert!(!choice.readiness().uses_log());
    choice.advance(at(6)).unwrap();
    choice.set_reads_log(true);
    assert!(choice.readiness().uses_log());
    assert_eq!(choice.advance(at(5)), Err(StateRefusal::NotNewer));
}
