//! Guards against starvation of a less urgent class by a flood of a more urgent one.

use {
    super::{
        fleet::{Fleet, PendingRequests, START, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::Millis,
        traffic::{SendOutcome, TrafficPolicy, Urgency},
    },
};

/// Urgent work floods one target at five times its capacity for a minute. All accepted overnight work must
/// still complete before its deadline of 15 s, and urgent work must start within 1.6 s.
#[test]
fn overnight_ends() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut pending = PendingRequests::default();
    let mut offered = Vec::new();
    let mut accepted = 0;
    let mut ended = 0;
    for step in 0..60_000 {
        let now = START + Millis(step);
        let urgency = if step % 500 == 0 {
            Urgency::Overnight
        } else {
            Urgency::Urgent
        };
        if step % 2 == 0 {
            let remaining = if urgency == Urgency::Urgent {
                3_000
            } else {
                15_000
            };
            let request = spec(&view, 0, urgency, now + Millis(remaining));
            let admitted = policy.offer(now, handle(offered.len()), request).is_ok();
            accepted += usize::from(admitted && urgency == Urgency::Overnight && step < 45_000);
            offered.push((urgency, now));
        }
        for handle in pending.complete_due(&mut policy, now, Millis(80)) {
            let (urgency, since) = offered[handle.0 as usize];
            let counted = urgency == Urgency::Overnight && since < START + Millis(45_000);
            ended += usize::from(counted && now.since(since) <= Millis(15_000));
        }
        for assignment in policy.assign(now, step) {
            let (urgency, since) = offered[assignment.handle.0 as usize];
            if urgency == Urgency::Urgent {
                assert!(now.since(since) <= Millis(1_600));
            }
            pending.sent.push((now, assignment));
        }
        policy.expire(now);
    }
    assert!(accepted >= 85, "{accepted} of 90 were accepted");
    assert_eq!(ended, accepted);
}

/// Urgent work must be refused, not sent late, when a target stalls after the work was admitted.
#[test]
fn stalled_target() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    for number in 0..13 {
        let request = spec(&view, 0, Urgency::Urgent, START + Millis(10_000));
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 1);
    assert_eq!(sent.len(), 8);
    let late = START + Millis(1_601);
    policy.finish(late, sent[0], SendOutcome::Unknown);
    assert_eq!(policy.assign(late, 1), vec![]);
    assert_eq!(policy.expire(late).len(), 5);
}
