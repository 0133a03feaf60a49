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
    Claim { holder: u64, key: usize },
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
        (0..3_u64, 0..4_usize).prop_map(|(holder, key)| Step::Claim { holder, key }),
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

    /// A holder sends only under its accepted claim and releases only what it has not sent. In any order of steps, a
    /// key is sent at most once, even long after its claim was removed.
    #[test]
    fn key_runs_once(steps in steps()) {
        let mut ledger = ClaimLedger::default();
        let mut now = START;
        let mut held = Vec::new();
        let mut sent = [0; 4];
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Millis(millis),
                Step::Claim { holder: number, key: index } => {
                    let claim = ClaimRecord::Claim { holder: holder(number), key: key(index) };
                    if ledger.apply(now, &claim).is_ok() {
                        held.push((number, index));
                    }
                }
                Step::Release { holder: number, key: index } => {
                    if let Some(position) = held.iter().position(|held| *held == (number, index)) {
                        held.remove(position);
                        let release = ClaimRecord::Release { holder: holder(number), key: key(index) };
                        let _ = ledger.apply(now, &release);
                    }
                }
                Step::Send { holder: number, key: index } => {
                    if let Some(position) = held.iter().position(|held| *held == (number, index)) {
                        held.remove(position);
                        sent[index] += 1;
                    }
                }
            }
            prop_assert!(sent.iter().all(|count| *count <= 1), "{sent:?}");
        }
    }
}

/// A key whose claim was removed because of its age must not become free again.
#[test]
fn forgotten_key() {
    let mut ledger = ClaimLedger::default();
    let claim = |number| ClaimRecord::Claim {
        holder: holder(number),
        key: key(0),
    };
    assert_eq!(ledger.apply(START, &claim(1)), Ok(()));
    let late = START + CLAIM_MAX_AGE + Millis(1);
    assert_eq!(ledger.apply(late, &claim(2)), Err(Rejection::KeyTooOld));
    assert!(ledger.is_empty());
}

/// A release by anyone but the holder must not free a key whose request may be in flight.
#[test]
fn foreign_release() {
    let mut ledger = ClaimLedger::default();
    let claim = |number| ClaimRecord::Claim {
        holder: holder(number),
        key: key(0),
    };
    let release = |number| ClaimRecord::Release {
        holder: holder(number),
        key: key(0),
    };
    assert_eq!(ledger.apply(START, &claim(1)), Ok(()));
    let foreign = ledger.apply(START, &release(2));
    assert_eq!(foreign, Err(Rejection::NotHolder));
    let second = ledger.apply(START, &claim(2));
    assert_eq!(second, Err(Rejection::KeyClaimed));
    assert_eq!(ledger.apply(START, &release(1)), Ok(()));
    assert_eq!(ledger.apply(START, &claim(2)), Ok(()));
}

/// A claim under a key from a clock that runs far ahead would be kept longer by that lead.
#[test]
fn future_key() {
    let mut ledger = ClaimLedger::default();
    let claim = |lead: Millis| ClaimRecord::Claim {
        holder: holder(1),
        key: RecordId::at(START + lead, 9).0,
    };
    let late = ledger.apply(START, &claim(Millis(CLAIM_MAX_CLOCK_SKEW.0 + 1)));
    assert_eq!(late, Err(Rejection::KeyTooNew));
    assert_eq!(ledger.apply(START, &claim(CLAIM_MAX_CLOCK_SKEW)), Ok(()));
}
