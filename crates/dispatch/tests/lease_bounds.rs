//! Guards against work that runs twice because a runner keeps its work for longer than a successor of the owner waits: random
//! idle times, slow clocks, restarts, lost answers and moments at which the owner is cut off together with its runners.

mod fleet;
mod lease_world;

use {
    lease_world::{Crash, IDS, Walk, World},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, Strategy, proptest},
        sample::select,
        test_runner::RngSeed,
    },
};

const SEED: u64 = 51;
const CASES: u32 = 400;

fn walks() -> impl Strategy<Value = Walk> {
    let crash = (0..IDS.len(), -1_500..1_300_i64, 20..1_500_u64);
    let crash = crash.prop_map(|(runner, after_cut, down)| Crash {
        runner,
        after_cut,
        down,
    });
    let clock_starts = (0..5_000_000_u64, 0..5_000_000_u64);
    (
        select(vec![0, 2_000, 20_000, 97_000, 300_000]),
        98..=100_u64,
        clock_starts,
        vec(crash, 0..3),
        vec((-1_500..1_300_i64, 1..6_u32), 1..8),
        vec(1..60_u64, 1..6),
        select(vec![4, 20, 1_000]),
    )
        .prop_map(
            |(idle, clock_percent, clock_starts, crashes, jobs, delays, loses_one_in)| Walk {
                idle,
                clock_percent,
                clock_starts,
                crashes,
                jobs,
                delays,
                loses_one_in,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    /// Guards against a run that goes on when a successor that cannot reach its runner starts the work again.
    #[test]
    fn nothing_outlasts_wait(walk in walks()) {
        let mut world = World::new(walk.clone());
        world.run();
        for (runner, id) in IDS.iter().enumerate() {
            world.wait(world.successor_waits(id));
            let count = world.running(runner);
            assert_eq!(count, 0, "{count} runs go on at {id}: {walk:?}");
        }
    }
}
