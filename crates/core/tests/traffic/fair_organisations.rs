//! Guards against an organisation that takes the share of the others.

use {
    super::{
        fleet::{Fleet, PendingRequests, START, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::Millis,
        traffic::{FairPolicy, RoutingView, TrafficPolicy, Urgency},
    },
    std::{ops::Range, sync::Arc},
};

/// Runs one target with 8 slots and 80 ms per request, that is 100 requests/s, for 20 s. Organisation 0 offers
/// 500 requests/s, organisations 1 and 2 offer 25/s each. Returns the completed requests of each organisation.
fn run_flood(flood: Urgency, others: Urgency) -> [usize; 3] {
    let fleet = Fleet::new(1, 1, 3);
    let (mut policy, view) = fleet.policy(0);
    let mut pending = PendingRequests::default();
    let mut organisations = Vec::new();
    let mut done = [0; 3];
    for step in 0..20_000 {
        let now = START + Millis(step);
        let mut offers = Vec::new();
        if step % 2 == 0 {
            offers.push((0, flood));
        }
        if step % 40 == 1 {
            offers.extend([(1, others), (2, others)]);
        }
        for (organisation, urgency) in offers {
            let request = spec(&view, organisation, urgency, now + Millis(2_000));
            let _ = policy.offer(now, handle(organisations.len()), request);
            organisations.push(organisation);
        }
        for ended in pending.complete_due(&mut policy, now, Millis(80)) {
            done[organisations[ended.0 as usize]] += 1;
        }
        let assigned = policy.assign(now, step);
        pending
            .sent
            .extend(assigned.into_iter().map(|sent| (now, sent)));
        policy.expire(now);
    }
    done
}

/// During a flood in the same class, the others must complete 95% of their 500 requests.
#[test]
fn same_class() {
    let done = run_flood(Urgency::Normal, Urgency::Normal);
    assert!(done[1] >= 475 && done[2] >= 475, "{done:?}");
    assert!(done.iter().sum::<usize>() >= 1_900, "{done:?}");
}

/// A flood of urgent work must not displace the normal work of organisations within their quota.
#[test]
fn urgent_flood() {
    let done = run_flood(Urgency::Urgent, Urgency::Normal);
    assert!(done[1] >= 475 && done[2] >= 475, "{done:?}");
}

/// A flood of overnight work must not affect the urgent work of the others.
#[test]
fn overnight_flood() {
    let done = run_flood(Urgency::Overnight, Urgency::Urgent);
    assert!(done[1] >= 490 && done[2] >= 490, "{done:?}");
}

/// Offers one request per millisecond from three organisations in turn, to one target that serves 100 requests/s.
/// Returns the completed requests of each organisation.
fn run_backlog(
    policy: &mut FairPolicy,
    view: &RoutingView,
    pending: &mut PendingRequests,
    steps: Range<u64>,
) -> [i32; 3] {
    let mut done = [0; 3];
    for step in steps {
        let now = START + Millis(step);
        let organisation = step as usize % 3;
        let request = spec(view, organisation, Urgency::Normal, now + Millis(4_000));
        let _ = policy.offer(now, handle(step as usize), request);
        for ended in pending.complete_due(policy, now, Millis(80)) {
            done[ended.0 as usize % 3] += 1;
        }
        let assigned = policy.assign(now, step);
        pending
            .sent
            .extend(assigned.into_iter().map(|sent| (now, sent)));
        policy.expire(now);
    }
    done
}

/// Checks completed requests against 750, 1,500 and 750, with a tolerance of 5%.
fn check_weighted(done: [i32; 3]) {
    let is_near = |count: i32, share: i32| (count - share).abs() * 20 <= share;
    assert!(
        is_near(done[0], 750) && is_near(done[1], 1_500) && is_near(done[2], 750),
        "{done:?}"
    );
}

/// Organisations that offer more than their share must be served in proportion to their weights.
#[test]
fn weighted_shares() {
    let mut fleet = Fleet::new(1, 1, 3);
    fleet.config.organisations[1].weight = 2;
    let (mut policy, view) = fleet.policy(0);
    let mut pending = PendingRequests::default();
    check_weighted(run_backlog(&mut policy, &view, &mut pending, 0..30_000));
}

/// A changed weight must be in force at once, also for an organisation that always has requests in the queue.
#[test]
fn changed_weight() {
    let mut fleet = Fleet::new(1, 1, 3);
    let (mut policy, view) = fleet.policy(0);
    let mut pending = PendingRequests::default();
    run_backlog(&mut policy, &view, &mut pending, 0..10_000);
    fleet.config.organisations[1].weight = 2;
    let view = fleet.view(&view);
    policy.update_view(START + Millis(10_000), Arc::clone(&view));
    check_weighted(run_backlog(
        &mut policy,
        &view,
        &mut pending,
        10_000..40_000,
    ));
}

/// One organisation must not fill the queue of a class, so that others are still admitted.
#[test]
fn queue_space() {
    let fleet = Fleet::new(1, 1, 2);
    let (mut policy, view) = fleet.policy(0);
    for number in 0..1_000 {
        let request = spec(&view, 0, Urgency::Normal, START + Millis(60_000));
        let _ = policy.offer(START, handle(number), request);
    }
    let request = spec(&view, 1, Urgency::Normal, START + Millis(60_000));
    assert_eq!(policy.offer(START, handle(1_000), request), Ok(()));
}
