//! Guards against a configured request quota that is accepted but has no effect.

use {
    super::{
        fleet::{Fleet, START, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        error::ErrorKind,
        ids::Millis,
        traffic::{SendOutcome, TrafficPolicy, Urgency},
    },
};

/// A quota of 14 is 2 for each of 7 entry hosts. Requests count while they are queued or in flight, and stop
/// counting when they end, are cancelled, or are refused late. Other organisations are not affected.
#[test]
fn quota_share() {
    let mut fleet = Fleet::new(1, 1, 2);
    fleet.config.organisations[0].max_in_flight = Some(14);
    let (mut policy, view) = fleet.policy(0);
    let deadline = START + Millis(5_000);
    let request = spec(&view, 0, Urgency::Urgent, deadline);
    let offer = |policy: &mut dyn TrafficPolicy, number, request| {
        policy.offer(START, handle(number), request)
    };
    assert_eq!(offer(&mut policy, 0, request), Ok(()));
    assert_eq!(offer(&mut policy, 1, request), Ok(()));
    let sent = policy.assign(START, 1);
    assert_eq!(sent.len(), 2);
    let refused = Err(ErrorKind::QuotaExceeded);
    assert_eq!(offer(&mut policy, 2, request), refused);
    let other = spec(&view, 1, Urgency::Urgent, deadline);
    assert_eq!(offer(&mut policy, 3, other), Ok(()));
    let answered = SendOutcome::Answered {
        elapsed: Millis(10),
    };
    policy.finish(START, sent[0], answered);
    assert_eq!(offer(&mut policy, 4, request), Ok(()));
    assert_eq!(offer(&mut policy, 5, request), refused);
    assert!(policy.cancel(START, handle(4)));
    assert_eq!(offer(&mut policy, 6, request), Ok(()));
    policy.expire(deadline + Millis(1));
    assert_eq!(
        policy.offer(
            deadline,
            handle(7),
            spec(&view, 0, Urgency::Urgent, deadline + Millis(5_000))
        ),
        Ok(())
    );
}

/// A quota below the number of entry hosts must not refuse all requests of the organisation; zero must.
#[test]
fn small_quota() {
    for (quota, expected) in [(3, Ok(())), (0, Err(ErrorKind::QuotaExceeded))] {
        let mut fleet = Fleet::new(1, 1, 1);
        fleet.config.organisations[0].max_in_flight = Some(quota);
        let (mut policy, view) = fleet.policy(0);
        let request = spec(&view, 0, Urgency::Urgent, START + Millis(5_000));
        assert_eq!(policy.offer(START, handle(0), request), expected);
    }
}

/// A host that declares no slots must get the configured number, not zero.
#[test]
fn configured_slots() {
    let mut fleet = Fleet::new(1, 1, 1);
    fleet.hosts[0].slots = 0;
    fleet.config.services[0].slots = 3;
    let (_, view) = fleet.policy(0);
    assert_eq!(view.targets[0].slots, 3);
}
