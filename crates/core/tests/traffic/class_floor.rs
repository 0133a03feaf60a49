//! Guards against a less urgent class that starves while a more urgent one floods.

use {
    super::{
        fleet::{Answers, Fleet, START, spec},
        one_end::ticket,
    },
    goldcreststall_core::{
        ids::Millis,
        traffic::{TrafficPolicy, Urgency},
    },
};

/// Urgent work floods one target at five times its capacity; everything overnight that was accepted
/// must still end before its deadline of 30 s, and urgent work must start within 1.6 s.
#[test]
fn overnight_ends() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut answers = Answers::default();
    let mut offered = Vec::new();
    let mut accepted = 0;
    let mut ended = 0;
    for step in 0..40_000 {
        let now = START + Millis(step);
        let urgency = if step % 500 == 0 {
            Urgency::Overnight
        } else {
            Urgency::Urgent
        };
        if step % 2 == 0 && step < 20_000 {
            let left = if urgency == Urgency::Urgent {
                3_000
            } else {
                30_000
            };
            let request = spec(&view, 0, urgency, now + Millis(left));
            let admitted = policy.offer(now, ticket(offered.len()), request).is_ok();
            accepted += usize::from(admitted && urgency == Urgency::Overnight);
            offered.push((urgency, now));
        }
        for ticket in answers.end_due(&mut policy, now, Millis(80)) {
            ended += usize::from(offered[ticket.0 as usize].0 == Urgency::Overnight);
        }
        for assignment in policy.assign(now, step) {
            let (urgency, since) = offered[assignment.ticket.0 as usize];
            if urgency == Urgency::Urgent {
                assert!(now.since(since) <= Millis(1_600));
            }
            answers.sent.push((now, assignment));
        }
        policy.expire(now);
    }
    assert!(accepted >= 38, "{accepted} of 40 were accepted");
    assert_eq!(ended, accepted);
}
