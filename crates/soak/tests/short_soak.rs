//! Guards the promises under random faults: a short run with a fixed seed, and every seed that ever broke a promise.

use {
    goldcreststall_soak::run::{RunShape, SoakRun},
    serde::Deserialize,
    std::{path::PathBuf, time::Duration},
};

/// Seed of the run that is no regression case.
const FIXED_SEED: u64 = 20_261_204;

#[derive(Deserialize)]
struct RegressionFile {
    case: Vec<RegressionCase>,
}

#[derive(Deserialize)]
struct RegressionCase {
    seed: u64,
    seconds: u64,
    entries: usize,
    hosts: usize,
    rate: u32,
    cause: String,
}

async fn run(seed: u64, shape: RunShape, about: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let report = SoakRun::run(seed, shape, folder.path())
        .await
        .expect("a run");
    if !report.violations.is_empty() {
        let kept: PathBuf = folder.keep();
        panic!(
            "seed {seed} ({about}), logs in {}: {:#?}",
            kept.display(),
            report.violations
        );
    }
    assert!(report.completed > 0, "no job was completed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fixed_seed() {
    let shape = RunShape {
        entries: 4,
        hosts: 14,
        rate: 8,
        duration: Duration::from_secs(8),
        only: None,
    };
    run(FIXED_SEED, shape, "the fixed seed").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regression_seeds() {
    let text = include_str!("../regressions.toml");
    let file: RegressionFile = toml::from_str(text).expect("the file of regressions");
    for case in file.case {
        let shape = RunShape {
            entries: case.entries,
            hosts: case.hosts,
            rate: case.rate,
            duration: Duration::from_secs(case.seconds),
            only: None,
        };
        run(case.seed, shape, &case.cause).await;
    }
}
