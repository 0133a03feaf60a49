//! Guards against a response of a runner with odd numbers that stops the owner, or that it believes for ever.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, listed_run, step},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, StartResponse},
        runners::{EndKind, HoldResponse},
    },
};

fn deadlines(fleet: &TestFleet) -> Vec<u64> {
    let deadline = |command: &OwnerCommand| match command {
        OwnerCommand::Hold { deadline_ms, .. } => *deadline_ms,
        _ => None,
    };
    fleet.commands.iter().filter_map(deadline).collect()
}

/// Guards against a lease that overflows, or never ends, after a reading of a runner's clock near the largest number.
#[test]
fn clock_at_limit() {
    for clock in [u64::MAX, u64::MAX - 3_000, 1 << 60] {
        let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(2, 1_000)]);
        assert_eq!(starts.len(), 2);
        fleet.advance(200);
        let listed = || starts.iter().map(listed_run).collect();
        fleet.answer_holds(|_| {
            Some(HoldResponse {
                clock_ms: clock,
                running: listed(),
                ..HoldResponse::default()
            })
        });
        fleet.advance(200);
        let now = fleet.clock();
        let granted = deadlines(&fleet);
        assert!(!granted.is_empty() && granted.iter().all(|deadline| *deadline < now + 60_000));
        let response = StartResponse::Begun(clock);
        assert!(fleet.owner.start_answered(&starts[0], response, fleet.now));
        // The runner is lost: its work starts elsewhere once its lease has ended.
        fleet.runners.push(fleet::runner("r2"));
        fleet.list_runners();
        for _ in 0..40 {
            fleet.answer_holds_by_id(|id| (id == "r2").then(|| empty_response(now)));
            fleet.advance(250);
        }
        assert_eq!(fleet.starts().len(), 2, "{clock}");
    }
}
