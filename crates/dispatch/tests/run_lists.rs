//! Guards against work that is started again because the list of ends of a runner was cut.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobPhase},
        owner::{CallResponse, JobCall},
        runners::{EndKind, EndedRun, HoldResponse},
    },
};

/// Most ends that a runner lists in one response.
const MAX_LISTED_ENDS: u64 = 500;

/// Returns the response of a runner with more unacknowledged ends than one response lists; those that it lists are of
/// jobs that no longer exist.
fn full_end_list(clock: u64) -> HoldResponse {
    let name = ItemName::try_from("00000000000000ff.0.0.0").expect("a name");
    let end = |number| EndedRun {
        number,
        name,
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    HoldResponse {
        ended: (1..=MAX_LISTED_ENDS).map(end).collect(),
        ..empty_response(clock)
    }
}

/// A run whose end is not among the listed ones is listed neither as running nor as ended. It was done, and must not
/// run again.
#[test]
fn cut_end_list() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1", "r2"], vec![step(1, 1_000)]);
    let first = starts[0].runner;
    for _ in 0..40 {
        fleet.advance(100);
        let clock = fleet.clock();
        fleet.answer_holds(|runner| {
            let is_first = runner == first;
            Some(if is_first {
                full_end_list(clock)
            } else {
                empty_response(clock)
            })
        });
        assert_eq!(
            fleet.starts(),
            [],
            "work was started again before its end was listed"
        );
    }
    fleet.store();
    fleet.advance(300);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let mut response = empty_response(clock);
        if runner == first {
            response
                .ended
                .push(ended_run(MAX_LISTED_ENDS + 1, &starts[0], EndKind::Done));
        }
        Some(response)
    });
    fleet.store();
    fleet.advance(100);
    assert_eq!(fleet.starts(), []);
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}
