//! Guards against admitting work that cannot complete in time, unbounded queues, and new work during
//! the shutdown.

use {
    super::{
        fleet::{Fleet, PendingRequests, START, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        error::ErrorKind,
        ids::{LocalTime, Millis},
        traffic::{FairPolicy, RoutingView, SendOutcome, TrafficPolicy, Urgency},
    },
};

/// Serves 48 requests of 100 ms on 8 slots and returns the time at which all have completed.
fn record_service_times(policy: &mut FairPolicy, view: &RoutingView) -> LocalTime {
    let mut pending = PendingRequests::default();
    let mut now = START;
    for number in 0..48 {
        let request = spec(view, 0, Urgency::Normal, now + Millis(60_000));
        policy.offer(now, handle(number), request).unwrap();
    }
    for _ in 0..7 {
        let assigned = policy.assign(now, 1);
        pending
            .sent
            .extend(assigned.into_iter().map(|sent| (now, sent)));
        now = now + Millis(100);
        pending.complete_due(policy, now, Millis(100));
    }
    assert_eq!(policy.demand(), vec![0]);
    now
}

/// A request that could only start after its deadline must be refused when offered.
#[test]
fn early_refusal() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let now = record_service_times(&mut policy, &view);
    let mut offer = |number, remaining| {
        let request = spec(&view, 0, Urgency::Normal, now + Millis(remaining));
        policy.offer(now, handle(number), request)
    };
    for number in 100..148 {
        offer(number, 60_000).unwrap();
    }
    assert_eq!(offer(200, 500), Err(ErrorKind::DeadlineUnreachable));
    assert_eq!(offer(201, 2_000), Ok(()));
}

/// Learned service times that are far too long must not close an idle service permanently.
#[test]
fn idle_service() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let now = record_service_times(&mut policy, &view);
    let request = spec(&view, 0, Urgency::Normal, now + Millis(50));
    assert_eq!(policy.offer(now, handle(100), request), Ok(()));
    let refused = Err(ErrorKind::DeadlineUnreachable);
    assert_eq!(policy.offer(now, handle(101), request), refused);
    assert_eq!(policy.assign(now, 1).len(), 1);
}

/// The queue must stay within its bound, and a full class must leave space for the others.
#[test]
fn bounded_queue() {
    let mut fleet = Fleet::new(1, 1, 60);
    fleet.config.services[0].max_queue = 40;
    let (mut policy, view) = fleet.policy(0);
    for (class, urgency) in [Urgency::Overnight, Urgency::Normal, Urgency::Urgent]
        .into_iter()
        .enumerate()
    {
        let admitted = (0..300).filter(|number| {
            let request = spec(&view, number % 60, urgency, START + Millis(60_000));
            policy
                .offer(START, handle(class * 300 + number), request)
                .is_ok()
        });
        assert!(admitted.count() >= 6, "{urgency:?}");
    }
    assert!(policy.demand()[0] <= 40);
}

/// During the shutdown a request must only be admitted when it can be sent immediately.
#[test]
fn shutdown() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    for number in 0..10 {
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 1);
    let refusals = policy.drain(START);
    assert_eq!((sent.len(), refusals.len()), (8, 2));
    assert!(
        refusals
            .iter()
            .all(|refusal| refusal.kind == ErrorKind::Draining)
    );
    let refused = Err(ErrorKind::Draining);
    assert_eq!(policy.offer(START, handle(10), request), refused);
    let elapsed = Millis(10);
    policy.finish(START, sent[0], SendOutcome::Answered { elapsed });
    assert_eq!(policy.offer(START, handle(11), request), Ok(()));
    assert_eq!(policy.offer(START, handle(12), request), refused);
    assert_eq!(policy.assign(START, 1).len(), 1);
}

/// Requests must stay in the data centre of the entry host while it has free slots.
#[test]
fn local_data_centre_first() {
    let fleet = Fleet::new(1, 6, 1);
    let (mut policy, view) = fleet.policy(0);
    for number in 0..20 {
        let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 9);
    let local = sent.iter().filter(|sent| {
        let target = view.target_at(sent.target).unwrap();
        Some(&target.data_centre) == view.data_centre.as_ref()
    });
    assert_eq!((local.count(), sent.len()), (16, 20));
}
