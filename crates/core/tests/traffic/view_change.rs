//! Guards against requests that are counted at another target, service or organisation after a change of
//! the view.

use {
    super::{
        fleet::{Fleet, START, config, host, spec, test_config},
        one_end::handle,
    },
    goldcreststall_core::{
        error::ErrorKind,
        ids::{Incarnation, Millis, PoolName},
        traffic::{RoutingView, SendOutcome, TrafficPolicy, Urgency},
    },
    proptest::prelude::*,
};

proptest! {
    #![proptest_config(test_config(128, 15))]

    /// A key keeps its host name and incarnation in all later views, or no longer resolves.
    #[test]
    fn stable_keys(steps in prop::collection::vec((0..4_u8, 0..6_usize), 1..60)) {
        let mut fleet = Fleet::new(2, 3, 3);
        let mut view = fleet.view(&RoutingView::default());
        let mut known = Vec::new();
        for (kind, random) in steps {
            let count = fleet.hosts.len();
            match kind {
                0 if count > 0 => {
                    fleet.hosts.remove(random % count);
                }
                1 if count > 0 => {
                    let host = &mut fleet.hosts[random % count];
                    host.incarnation = Incarnation(host.incarnation.0 + 1);
                }
                2 => {
                    if fleet.hosts.iter().all(|known| known.name != host(random % 2, random / 2)) {
                        fleet.add_host(random % 2, random / 2);
                    }
                }
                _ => fleet.config = config(1 + random % 2, 1 + random % 3),
            }
            view = fleet.view(&view);
            for host in &fleet.hosts {
                for key in view.targets_of(&host.name) {
                    known.push((key, host.name.clone(), host.incarnation));
                }
            }
            for (key, name, incarnation) in &known {
                if let Some(target) = view.target_at(*key) {
                    prop_assert_eq!((&target.name, target.incarnation), (name, *incarnation));
                }
            }
            for (index, service) in view.services.iter().enumerate() {
                if !service.retired {
                    prop_assert_eq!(view.service(&service.name).map(|key| key.0 as usize), Some(index));
                }
            }
        }
    }
}

/// Only hosts in the pool of a service are its targets.
#[test]
fn other_pool() {
    let mut fleet = Fleet::new(2, 2, 1);
    fleet.members[0].pool = PoolName::try_from("p1").unwrap();
    let view = fleet.view(&RoutingView::default());
    let key = view.target(&host(0, 0)).unwrap();
    assert_eq!(view.target_at(key).unwrap().service.0, 1);
}

/// A host that is absent from a lagging list and returns must keep the count of its requests in flight, even
/// if another host was added in between.
#[test]
fn host_returns() {
    let mut fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    for number in 0..18 {
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 1);
    assert_eq!(sent.len(), 8);
    let lost = fleet.hosts.pop().unwrap();
    let view = fleet.view(&view);
    policy.update_view(START, view.clone());
    assert_eq!(policy.assign(START, 1), vec![]);
    fleet.add_host(0, 1);
    let view = fleet.view(&view);
    policy.update_view(START, view.clone());
    assert_eq!(policy.assign(START, 1).len(), 8);
    fleet.hosts.push(lost);
    let view = fleet.view(&view);
    policy.update_view(START, view.clone());
    assert_eq!(policy.assign(START, 1), vec![]);
    let elapsed = Millis(10);
    policy.finish(START, sent[0], SendOutcome::Answered { elapsed });
    assert_eq!(policy.assign(START, 1).len(), 1);
}

/// The end of a request at a replaced host must not release a slot of its replacement.
#[test]
fn replaced_host() {
    let mut fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    for number in 0..20 {
        policy.offer(START, handle(number), request).unwrap();
    }
    let old_assignments = policy.assign(START, 1);
    fleet.hosts[0].incarnation = Incarnation(2);
    let view = fleet.view(&view);
    policy.update_view(START, view);
    assert_eq!(policy.assign(START, 1).len(), 8);
    for assignment in old_assignments {
        let elapsed = Millis(10);
        policy.finish(START, assignment, SendOutcome::Answered { elapsed });
    }
    assert_eq!(policy.assign(START, 1), vec![]);
}

/// A reused index must not be mistaken for its former target: the end of a request at the former target must
/// not release a slot of the new one. The list must not grow without bound.
#[test]
fn reused_index() {
    let mut fleet = Fleet::new(1, 1, 1);
    let (mut policy, mut view) = fleet.policy(0);
    let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    let mut number = 0;
    let mut in_flight = Vec::new();
    for incarnation in 2..1_000 {
        policy.offer(START, handle(number), request).unwrap();
        number += 1;
        in_flight.extend(policy.assign(START, 1));
        fleet.hosts[0].incarnation = Incarnation(incarnation);
        view = fleet.view(&view);
        policy.update_view(START, view.clone());
    }
    assert!(view.targets.len() < 300);
    assert_eq!(view.target_at(in_flight[0].target), None);
    for _ in 0..16 {
        policy.offer(START, handle(number), request).unwrap();
        number += 1;
    }
    let sent = policy.assign(START, 1);
    assert_eq!(sent.len(), 8);
    let former = in_flight
        .iter()
        .find(|in_flight| in_flight.target.index == sent[0].target.index);
    let elapsed = Millis(10);
    policy.finish(START, *former.unwrap(), SendOutcome::Answered { elapsed });
    assert_eq!(policy.assign(START, 1), vec![]);
}

/// Queued requests of a service that is no longer configured must be refused, not lost.
#[test]
fn retired_service() {
    let mut fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    policy.offer(START, handle(1), request).unwrap();
    fleet.config = config(0, 1);
    policy.update_view(START, fleet.view(&view));
    let refusals = policy.expire(START);
    assert_eq!(refusals[0].kind, ErrorKind::UnknownService);
    assert_eq!(
        policy.offer(START, handle(2), request),
        Err(ErrorKind::UnknownService)
    );
}

/// A view that was not built from the previous one must not make the policy fail or lose requests.
#[test]
fn unrelated_view() {
    let fleet = Fleet::new(2, 3, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
    for number in 0..40 {
        request.service.0 = number as u16 % 2;
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 1);
    policy.update_view(START, Fleet::new(1, 1, 1).view(&RoutingView::default()));
    let mut ended = sent.len();
    for assignment in sent {
        let elapsed = Millis(10);
        policy.finish(START, assignment, SendOutcome::Answered { elapsed });
    }
    assert_eq!(
        policy.offer(START, handle(99), request),
        Err(ErrorKind::UnknownService)
    );
    ended += policy.assign(START, 1).len();
    ended += policy.drain(START).len();
    assert_eq!(ended, 40);
}
