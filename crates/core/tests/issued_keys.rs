//! Guards against an issued request key that is used twice, or that is lost although it did not run.

use {
    goldcreststall_core::{
        claims::{IssuedKeys, KeyUse},
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, RequestKey},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 256;
const SEED: u64 = 43;
/// Life of a key in milliseconds.
const LIFE: u64 = 15 * 60 * 1000;

#[derive(Clone, Debug)]
enum Step {
    GiveBack(usize),
    Issue,
    Take(usize),
    Wait(u64),
}

fn issuer() -> EntryId {
    EntryId {
        incarnation: Incarnation(7),
        name: EntryName::try_from("e1").unwrap(),
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..6_usize).prop_map(Step::GiveBack),
        Just(Step::Issue),
        (0..6_usize).prop_map(Step::Take),
        (0..LIFE / 2).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

fn number(key: &RequestKey) -> u64 {
    match key {
        RequestKey::Issued { number, .. } => *number,
        RequestKey::Caller(_) => panic!("not an issued key"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    /// Compares the register with a plain list of keys: unused, in use or given back, each with its age.
    #[test]
    fn matches_list(steps in steps()) {
        let mut keys = IssuedKeys::new(issuer());
        let mut model: Vec<(LocalTime, bool)> = Vec::new();
        let mut now = LocalTime(1_000);
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Millis(millis),
                Step::Issue => {
                    let key = keys.issue(now);
                    prop_assert_eq!(number(&key), model.len() as u64);
                    model.push((now, false));
                }
                Step::GiveBack(index) => {
                    keys.give_back(now, index as u64);
                    if let Some(row) = model.get_mut(index) {
                        row.1 = false;
                    }
                }
                Step::Take(index) => {
                    let expected = match model.get_mut(index) {
                        None => KeyUse::Foreign,
                        Some((issued, _)) if now.since(*issued).0 > LIFE => KeyUse::Expired,
                        Some((_, true)) => KeyUse::Repeated,
                        Some((_, used)) => {
                            *used = true;
                            KeyUse::First
                        }
                    };
                    prop_assert_eq!(keys.take(now, &issuer(), index as u64), expected);
                }
            }
        }
    }
}

/// A key of another run under the same name must not be used.
#[test]
fn other_run() {
    let mut keys = IssuedKeys::new(issuer());
    let now = LocalTime(0);
    keys.issue(now);
    let other = EntryId {
        incarnation: Incarnation(6),
        ..issuer()
    };
    assert_eq!(keys.take(now, &other, 0), KeyUse::Foreign);
}
