//! Guards against counts of available hosts that do not match the hosts, which would let planned changes break a
//! budget, and against an encoding that depends on the counts.

mod fleet_model;

use {
    fleet_model::{FleetWalk, Step, one_pool},
    goldcreststall_core::{
        config::FleetConfig,
        ledger::{FleetState, decode_state, encode_state},
        membership::PoolBudget,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
};

const POOLS: [&str; 4] = ["plates", "proofs", "spare", "absent"];
const RULES: [&str; 3] = ["none", "rack", "data_centre"];

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = any::<(u8, u8, u8, u16)>().prop_map(|(kind, author, pick, extra)| Step {
        kind,
        author,
        pick,
        extra,
    });
    vec(step, 1..300)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 32,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

/// Compares the budget of each pool under each rule with a scan of all hosts.
fn check_scan(configs: &[FleetConfig], state: &FleetState) -> Result<(), TestCaseError> {
    for pool in configs.iter().flat_map(|config| &config.pools) {
        let members = state.membership.members(&pool.name);
        let scanned = PoolBudget::new(pool, members.map(|(_, host)| host));
        prop_assert_eq!(state.membership.budget(pool), scanned, "{:?}", pool);
    }
    Ok(())
}

/// Compares the state with its decoded encoding, for which the counts are computed again; equality covers the counts.
fn check_decoded(state: &FleetState) -> Result<(), TestCaseError> {
    let bytes = encode_state(state);
    let decoded = decode_state(&bytes).unwrap();
    prop_assert!(decoded == *state, "the decoded state differs");
    prop_assert_eq!(encode_state(&decoded), bytes);
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Hosts are added, removed, moved, stopped and reported down in a random walk. After every step the budgets equal
    /// those of a full scan, and a decoded state equals the one that was encoded.
    #[test]
    fn same_scan(steps in steps()) {
        let texts = POOLS.iter().flat_map(|pool| RULES.map(|rule| one_pool(pool, 1, rule)));
        let configs: Vec<FleetConfig> = texts.map(|text| FleetConfig::try_from(text.as_str()).unwrap()).collect();
        let mut walk = FleetWalk::new();
        for step in steps {
            walk.step(step).unwrap();
            check_scan(&configs, &walk.state)?;
            check_decoded(&walk.state)?;
        }
    }
}
