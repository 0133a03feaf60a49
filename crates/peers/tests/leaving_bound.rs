//! Guards against a leaving target that some entry hosts learn of too late.

mod support;

use {
    goldcreststall_core::ids::Incarnation,
    std::time::Duration,
    support::{LinkFault, Network, host, host_names, notice, start_hosts, stop_hosts},
    tokio::time::{Instant, sleep},
};

/// The bound of 3 s less the interval of 1 s in which the list is polled.
const BOUND: Duration = Duration::from_secs(2);

async fn spread_time(count: usize, seed: u64, loss: u32) -> Duration {
    let network = Network::new(seed);
    for name in host_names(count) {
        network.set_fault(&name, LinkFault::LoseFrames(loss));
    }
    let hosts = start_hosts(&network, count);
    sleep(Duration::from_millis(2_000 + seed * 37)).await;
    let start = Instant::now();
    hosts[0]
        .handler
        .memory
        .lock()
        .unwrap()
        .notices
        .add(notice("t1", 1, 0));
    let time = loop {
        let knows = |handler: &support::TestHandler| {
            let memory = handler.memory.lock().unwrap();
            memory.notices.is_leaving(&host("t1"), Incarnation(1))
        };
        if hosts.iter().all(|host| knows(&host.handler)) || start.elapsed() > BOUND * 2 {
            break start.elapsed();
        }
        sleep(Duration::from_millis(10)).await;
    };
    stop_hosts(hosts).await;
    time
}

/// A notice that one entry host knows must reach the other six while a quarter of all frames is lost.
#[tokio::test(start_paused = true)]
async fn lost_frames() {
    for seed in 0..40 {
        let time = spread_time(7, seed, 25).await;
        assert!(time <= BOUND, "seed {seed}: {time:?}");
    }
}

/// Where no third entry host can pass the notice on, a lost one must be noticed and made good. Each lost
/// frame costs a connection here, so that a quarter of them leaves no bound: 7 of 300 seeds exceed it.
#[tokio::test(start_paused = true)]
async fn only_path() {
    for seed in 0..40 {
        let time = spread_time(2, seed, 10).await;
        assert!(time <= BOUND, "seed {seed}: {time:?}");
    }
}

/// Without loss one interval is enough.
#[tokio::test(start_paused = true)]
async fn one_interval() {
    let time = spread_time(7, 0, 0).await;
    assert!(time <= Duration::from_millis(220), "{time:?}");
}
