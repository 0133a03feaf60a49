//! Guards against an issued request key that is used twice, or that cannot be used although its request did not run.

use {
    goldcreststall_core::{
        claims::{IssuedKeys, KeyUse},
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, RequestKey},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 256;
const SEED: u64 = 43;
const KEY_LIFETIME_MS: u64 = 15 * 60 * 1000;

#[derive(Clone, Debug)]
enum Step {
    Release(usize),
    Issue,
    Use(usize),
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
        (0..6_usize).prop_map(Step::Release),
        Just(Step::Issue),
        (0..6_usize).prop_map(Step::Use),
        (0..KEY_LIFETIME_MS / 2).prop_map(Step::Wait),
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

    /// Compares the register with a plain list of keys: unused, used or released, each with its age.
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
                Step::Release(index) => {
                    keys.release_key(now, index as u64);
                    if let Some(key) = model.get_mut(index) {
                        key.1 = false;
                    }
                }
                Step::Use(index) => {
                    let expected = match model.get_mut(index) {
                        None => KeyUse::Foreign,
                        Some((issued, _)) if now.since(*issued).0 > KEY_LIFETIME_MS => KeyUse::Expired,
                        Some((_, true)) => KeyUse::Repeated,
                        Some((_, used)) => {
                            *used = true;
                            KeyUse::First
                        }
                    };
                    prop_assert_eq!(keys.use_key(now, &issuer(), index as u64), expected);
                }
            }
        }
    }
}

/// A key of another incarnation under the same name must not be accepted.
#[test]
fn other_run() {
    let mut keys = IssuedKeys::new(issuer());
    let now = LocalTime(0);
    keys.issue(now);
    let other = EntryId {
        incarnation: Incarnation(6),
        ..issuer()
    };
    assert_eq!(keys.use_key(now, &other, 0), KeyUse::Foreign);
}
