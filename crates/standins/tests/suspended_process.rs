//! Guards against tests that change the surroundings of a suspended process while its threads still run.

mod fleet;

use {
    fleet::{layout, start},
    std::fs,
};

/// Enough rounds that a process which is not waited for is seen running, on a machine that is not busy as well.
const ROUNDS: u32 = 20;

/// Returns the state of each thread of a process, as the kernel reports it.
fn thread_states(process: u32) -> Vec<char> {
    let threads = fs::read_dir(format!("/proc/{process}/task")).unwrap();
    let stats = threads.map(|thread| fs::read_to_string(thread.unwrap().path().join("stat")));
    // The state follows the name, which is in parentheses and may contain some.
    let states = stats.map(|stat| stat.unwrap().rsplit_once(") ").unwrap().1.chars().next());
    states.map(Option::unwrap).collect()
}

/// A thread that still runs after a suspension could send a request that the test takes for held back.
#[tokio::test(flavor = "multi_thread")]
async fn every_thread_stopped() {
    let fleet = start(&layout(1, 1)).await;
    let process = fleet.process(0).id();
    for round in 0..ROUNDS {
        fleet.suspend(0).await;
        let states = thread_states(process);
        assert!(states.len() > 1, "{states:?}");
        let stopped = states.iter().all(|state| *state == 'T');
        assert!(stopped, "round {round}: {states:?}");
        fleet.resume(0);
        fleet.wait_until_serving(0).await;
    }
}
