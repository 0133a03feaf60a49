//! Guards against accepted work that takes more memory than an entry host has. Three entry hosts with an owner and lowered
//! limits get crowds of valid submissions that describe much work in few bytes.

mod crowded_system;

use {
    crowded_system::{CROWD, CrowdedSystem, ENTRY_HOSTS, LIMITS},
    goldcreststall_adapter_standin::NodeLimits,
    goldcreststall_dispatch::jobs::{JobSpec, StepSpec},
    std::time::Duration,
    tokio::time::sleep,
};

const MANY_ENTRY_HOSTS: usize = 30;
/// Limits of entry hosts that take over from larger ones.
const SMALLER_LIMITS: NodeLimits = NodeLimits {
    memory_mb: 48,
    max_fds: 1_000,
};
/// Limits of entry hosts whose work the others take over.
const LARGER_LIMITS: NodeLimits = NodeLimits {
    memory_mb: 512,
    max_fds: 1_000,
};
/// Work items of the largest job.
const MANY_ITEMS: u32 = 20_000;
/// Less than the timeout of a call, so that calls still wait when the owner goes on.
const SUSPENSION: Duration = Duration::from_millis(1_500);
/// Longest text of a job.
const MAX_TEXT_BYTES: usize = 16_000;

fn one_step(step: StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn many_items() -> StepSpec {
    StepSpec {
        count: MANY_ITEMS,
        cpu: 100,
        mem_mb: 10,
        ..StepSpec::default()
    }
}

fn many_steps(count: usize, step: &StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step.clone(); count],
        ..JobSpec::default()
    }
}

/// Guards against jobs whose work items take thousands of times the memory of their descriptions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_work_items() {
    CrowdedSystem::check_crowd(one_step(many_items())).await;
}

/// Guards against backlogs that are counted by the caller's estimate alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn low_estimates() {
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against long-running work that is accepted whatever waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_running_items() {
    let step = StepSpec {
        long_running: true,
        ..many_items()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against long-running steps that are accepted whatever waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_running_steps() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        long_running: true,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(many_steps(3_500, &step)).await;
}

/// Guards against descriptions that are as long as a body may be.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_steps_of_one_item() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(many_steps(4_500, &step)).await;
}

/// Guards against recurring work that takes memory before it is due.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_occurrences() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = JobSpec {
        times: MANY_ITEMS,
        start_at_ms: u64::from(u32::MAX) * 1_000,
        interval_ms: 1_000,
        ..one_step(step)
    };
    CrowdedSystem::check_crowd(job).await;
}

/// Guards against work that demands nothing, so that any number of it runs on one runner, whose lists then exceed any limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_without_demand() {
    let step = StepSpec {
        count: MANY_ITEMS,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against a copy of the text of a job for each of its starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_texts() {
    let step = StepSpec {
        count: MANY_ITEMS,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = JobSpec {
        spec: "a".repeat(MAX_TEXT_BYTES),
        ..one_step(step)
    };
    CrowdedSystem::check_crowd(job).await;
}

/// Guards against an owner that recovers more work than fits into its memory, also where it has less than the one before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn smaller_successor() {
    let mut system = CrowdedSystem::start().await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    for limits in [LIMITS, SMALLER_LIMITS] {
        let restarted = system.system.restart_with(limits);
        restarted.expect("the entry hosts start again");
        system.check(limits, &accepted).await;
    }
}

/// Guards against an owner that cannot hold what an owner with much more memory has accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn larger_predecessor() {
    let mut system = CrowdedSystem::start_with(LARGER_LIMITS, ENTRY_HOSTS).await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    let restarted = system.system.restart_with(LIMITS);
    restarted.expect("the entry hosts start again");
    system.check(LIMITS, &accepted).await;
}

/// Guards against an owner that cannot hold what an owner with much more memory has accepted, where all of it has started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn started_by_predecessor() {
    let mut system = CrowdedSystem::start_with(LARGER_LIMITS, ENTRY_HOSTS).await;
    let first = StepSpec {
        count: 1,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let second = StepSpec {
        count: MANY_ITEMS - 1,
        after: vec![0],
        ..first.clone()
    };
    let job = JobSpec {
        steps: vec![first, second],
        ..JobSpec::default()
    };
    let accepted = system.submit_crowd(&job).await;
    let restarted = system.system.restart_with(LIMITS);
    restarted.expect("the entry hosts start again");
    system.check(LIMITS, &accepted).await;
}

/// Guards against calls of many entry hosts that the owner handles at a time, whatever they hold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_entry_hosts() {
    let mut system = CrowdedSystem::start_with(LIMITS, MANY_ENTRY_HOSTS).await;
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = many_steps(4_500, &step);
    let accepted = system.submit_concurrently(&job, CROWD).await;
    system.check(LIMITS, &accepted).await;
}

/// Guards against the calls that reach an owner which was suspended: they have collected at all entry hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspended_owner() {
    let mut system = CrowdedSystem::start_with(LIMITS, MANY_ENTRY_HOSTS).await;
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = many_steps(4_500, &step);
    let owner = system.owner();
    system.system.suspend(owner, true);
    let (accepted, ()) = tokio::join!(system.submit_concurrently(&job, CROWD), async {
        sleep(SUSPENSION).await;
        system.system.suspend(owner, false);
    });
    system.check(LIMITS, &accepted).await;
}

/// Guards against what is kept of jobs that were cancelled and sent again under other ids.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_jobs() {
    let mut system = CrowdedSystem::start().await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    system.cancel(&accepted).await;
    system.check(LIMITS, &accepted).await;
}
