//! Guards against a request key that runs twice.

use {
    goldcreststall_core::{
        claims::{CLAIM_MAX_AGE, CLAIM_MAX_CLOCK_SKEW, ClaimLedger, ClaimRecord},
        ids::{EntryId, EntryName, Incarnation, LogTime, Millis, RecordId},
        ledger::Rejection,
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 256;
const SEED: u64 = 41;
const START: LogTime = LogTime(1_800_000_000_000);

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Take { holder: u64, key: usize },
    Release { holder: u64, key: usize },
    Send { holder: u64, key: usize },
}

fn holder(number: u64) -> EntryId {
    EntryId {
        incarnation: Incarnation(number),
        name: EntryName::try_from("e1").unwrap(),
    }
}

fn key(index: usize) -> u128 {
    RecordId::at(START + Millis(index as u64 * 60_000), index as u128).0
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..400_000_u64).prop_map(Step::Wait),
        (0..3_u64, 0..4_usize).prop_map(|(holder, key)| Step::Take { holder, key }),
        (0..3_u64, 0..4_usize).prop_map(|(holder, key)| Step::Release { holder, key }),
        (0..3_u64, 0..4_usize).prop_map(|(holder, key)| Step::Send { holder, key }),
    ];
    prop::collection::vec(step, 1..120)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A holder sends only under its accepted claim and gives back only what it has not sent.
    /// Whatever the order, a key is sent once at most, even long after its claim is forgotten.
    #[test]
    fn key_runs_once(steps in steps()) {
        let mut ledger = ClaimLedger::default();
        let mut now = START;
        let mut held = Vec::new();
        let mut sent = [0; 4];
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Millis(millis),
                Step::Take { holder: number, key: index } => {
                    let take = ClaimRecord::Take { holder: holder(number), key: key(index) };
                    if ledger.apply(now, &take).is_ok() {
                        held.push((number, index));
                    }
                }
                Step::Release { holder: number, key: index } => {
                    if let Some(place) = held.iter().position(|held| *held == (number, index)) {
                        held.remove(place);
                        let release = ClaimRecord::Release { holder: holder(number), key: key(index) };
                        let _ = ledger.apply(now, &release);
                    }
                }
                Step::Send { holder: number, key: index } => {
                    if let Some(place) = held.iter().position(|held| *held == (number, index)) {
                        held.remove(place);
                        sent[index] += 1;
                    }
                }
            }
            prop_assert!(sent.iter().all(|count| *count <= 1), "{sent:?}");
        }
    }
}

/// A claim that is forgotten must not become free again.
#[test]
fn forgotten_key() {
    let mut ledger = ClaimLedger::default();
    let take = |number| ClaimRecord::Take {
        holder: holder(number),
        key: key(0),
    };
    assert_eq!(ledger.apply(START, &take(1)), Ok(()));
    let late = START + CLAIM_MAX_AGE + Millis(1);
    assert_eq!(ledger.apply(late, &take(2)), Err(Rejection::KeyTooOld));
    assert!(ledger.is_empty());
}

/// A release by anybody but the holder must not free a key whose request may be in flight.
#[test]
fn foreign_release() {
    let mut ledger = ClaimLedger::default();
    let take = |number| ClaimRecord::Take {
        holder: holder(number),
        key: key(0),
    };
    let release = |number| ClaimRecord::Release {
        holder: holder(number),
        key: key(0),
    };
    assert_eq!(ledger.apply(START, &take(1)), Ok(()));
    let foreign = ledger.apply(START, &release(2));
    assert_eq!(foreign, Err(Rejection::NotHolder));
    let second = ledger.apply(START, &take(2));
    assert_eq!(second, Err(Rejection::KeyClaimed));
    assert_eq!(ledger.apply(START, &release(1)), Ok(()));
    assert_eq!(ledger.apply(START, &take(2)), Ok(()));
}

/// A key from a clock that runs far ahead would be remembered for as long as it is ahead.
#[test]
fn future_key() {
    let mut ledger = ClaimLedger::default();
    let take = |lead: Millis| ClaimRecord::Take {
        holder: holder(1),
        key: RecordId::at(START + lead, 9).0,
    };
    let late = ledger.apply(START, &take(Millis(CLAIM_MAX_CLOCK_SKEW.0 + 1)));
    assert_eq!(late, Err(Rejection::KeyTooNew));
    assert_eq!(ledger.apply(START, &take(CLAIM_MAX_CLOCK_SKEW)), Ok(()));
}
