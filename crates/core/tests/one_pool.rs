//! Guards against a host in two pools or in none, and against planned changes that leave a pool with fewer available
//! hosts than its budget requires.

mod fleet_model;

use {
    fleet_model::{FleetWalk, Step},
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 256;
const SEED: u64 = 43;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = any::<(u8, u8, u8, u16)>().prop_map(|(kind, author, pick, extra)| Step {
        kind,
        author,
        pick,
        extra,
    });
    prop::collection::vec(step, 1..400)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Moves, waves, operators and failures race on stale views, records are sent again, and the state is restored from
    /// snapshots in between. The properties in `fleet_model` hold after every entry, and a replay of the log from the
    /// start reaches the same state. The audit trail explains every change.
    #[test]
    fn random_interleaving(steps in steps()) {
        let mut walk = FleetWalk::new();
        for step in steps {
            let result = walk.step(step);
            prop_assert!(result.is_ok(), "{}", result.unwrap_err());
        }
        let replay = walk.check_replay();
        prop_assert!(replay.is_ok(), "{}", replay.unwrap_err());
        let trail = walk.check_trail();
        prop_assert!(trail.is_ok(), "{}", trail.unwrap_err());
    }
}
