//! Guards against waits for capacity near data that do not pay, or that have no end.

use {
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        locality::{
            CapacityForecast, DurationTable, RunnerForecast, StepKind, WaitDecision, WaitInputs,
            remaining_time, wait_bound,
        },
        runners::{Capacity, RunnerKey},
    },
};

const INPUTS: WaitInputs = WaitInputs {
    duration: Millis(1_000),
    far_percent: 300,
    expected_wait: Some(Millis(500)),
    waited: Millis(0),
    bound: Millis(2_000),
};

const KIND: StepKind<'_> = StepKind {
    queue: "proofs",
    organisation: Some("guild"),
    step: 0,
    estimate_ms: 1_000,
};

fn cpu(cpu: u32) -> Capacity {
    Capacity {
        cpu,
        ..Capacity::default()
    }
}

/// Guards against a wait without gain, beyond its bound, for no capacity, or that makes a job late.
#[test]
fn wait_limits() {
    assert_eq!(INPUTS.decide(), WaitDecision::Wait);
    let starts = [
        WaitInputs {
            far_percent: 100,
            ..INPUTS
        },
        WaitInputs {
            expected_wait: None,
            ..INPUTS
        },
        WaitInputs {
            expected_wait: Some(Millis(1_980)),
            ..INPUTS
        },
        WaitInputs {
            waited: Millis(1_600),
            ..INPUTS
        },
    ];
    for inputs in starts {
        assert_eq!(inputs.decide(), WaitDecision::Start, "{inputs:?}");
    }
    // A job that is on time far from its data is so after a wait that does not pay.
    assert_eq!(wait_bound(Millis(1_000), 160, Millis(650)), Millis(50));
    assert_eq!(wait_bound(Millis(1_000), 160, Millis(590)), Millis(600));
}

/// Guards against overflow and endless waits with an estimate of 0 or the maximum.
#[test]
fn odd_estimates() {
    assert_eq!(wait_bound(Millis(0), 300, Millis(0)), Millis(0));
    assert_eq!(
        wait_bound(Millis(u64::from(u32::MAX)), u32::MAX, Millis(0)),
        Millis(10_000)
    );
    let mut durations = DurationTable::default();
    for estimate_ms in [0, u32::MAX] {
        let kind = StepKind {
            estimate_ms,
            ..KIND
        };
        for duration in [0, 700, 700, 700, 700, 700, u64::MAX] {
            durations.record(&kind, Millis(duration));
        }
    }
    let unknown = StepKind {
        estimate_ms: 0,
        ..KIND
    };
    assert_eq!(durations.expected(&unknown).median, Millis(700));
}

/// Guards against a run whose progress, or whose runner's clock, stands still and that seems about to end for ever.
#[test]
fn standing_run() {
    let standing = |ms| remaining_time(Millis(1_000), Millis(ms), 99, Millis(ms));
    assert!(standing(2_000) >= Millis(2_000));
    assert!(standing(9_000) >= Millis(9_000));
    // A run that takes seven times as long as the others.
    let slow = remaining_time(Millis(1_000), Millis(1_000), 14, Millis(0));
    assert!(slow > Millis(5_500));
}

/// Guards against work that waits for capacity which work ahead of it takes.
#[test]
fn claims_ahead() {
    let releases = vec![(Millis(900), cpu(4)), (Millis(300), cpu(4))];
    let runner = RunnerForecast::new(RunnerKey(0), cpu(0), releases);
    let mut forecast = CapacityForecast::new(vec![runner]);
    let mut starts = Vec::new();
    for _ in 0..4 {
        let slot = forecast.earliest(&cpu(4), |_| true).expect("a slot");
        forecast.claim(slot, &cpu(4), Millis(1_000));
        starts.push(slot.at.0);
    }
    assert_eq!(starts, [300, 900, 1_300, 1_900]);
    assert_eq!(forecast.earliest(&cpu(9), |_| true), None);
}

/// Guards against a caller that distorts or displaces what was learned for another one, and against a table without bound.
#[test]
fn callers_apart() {
    let mut durations = DurationTable::default();
    for _ in 0..5 {
        durations.record(&KIND, Millis(2_000));
    }
    for step in 0..10_000 {
        let other = StepKind {
            organisation: Some("other"),
            step,
            ..KIND
        };
        durations.record(&other, Millis(90_000));
    }
    assert!(durations.len() <= 4_096);
    assert_eq!(durations.expected(&KIND).median, Millis(2_000));
    for _ in 0..32 {
        durations.record(&KIND, Millis(500));
    }
    assert_eq!(durations.expected(&KIND).median, Millis(500));
}
