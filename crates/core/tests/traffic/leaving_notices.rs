//! Guards against sending new requests to targets that are leaving.

use {
    super::{
        fleet::{Fleet, START, host, spec, test_config},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::{Incarnation, Millis},
        traffic::{FairPolicy, LeavingNotice, RoutingView, SendOutcome, TrafficPolicy, Urgency},
    },
    proptest::prelude::*,
};

fn notice(target: usize, incarnation: u64, activation: u64) -> LeavingNotice {
    LeavingNotice {
        activation,
        host: host(0, target),
        incarnation: Incarnation(incarnation),
    }
}

/// Fills all slots and returns how many requests each target got.
fn fill(policy: &mut FairPolicy, view: &RoutingView) -> Vec<usize> {
    for number in 0..60 {
        let request = spec(view, 0, Urgency::Urgent, START + Millis(60_000));
        let _ = policy.offer(START, handle(number), request);
    }
    let sent = policy.assign(START, 7);
    let mut counts = vec![0; view.targets.len()];
    for assignment in &sent {
        counts[assignment.target.index as usize] += 1;
    }
    for assignment in sent {
        let elapsed = Millis(10);
        policy.finish(START, assignment, SendOutcome::Answered { elapsed });
    }
    policy.drain(START);
    counts
}

proptest! {
    #![proptest_config(test_config(128, 13))]

    /// An incarnation with a leaving notice gets no requests, in whatever order notices and views arrive.
    #[test]
    fn leaving_target(order in prop::collection::vec((0..3_u8, 0..3_usize), 1..20)) {
        let mut fleet = Fleet::new(1, 3, 1);
        let (mut policy, mut view) = fleet.policy(0);
        let mut leaving = [0_u64; 3];
        for (kind, target) in order {
            let incarnation = fleet.hosts[target].incarnation.0;
            match kind {
                0 => {
                    policy.mark_leaving(START, &notice(target, incarnation, 1));
                    leaving[target] = incarnation;
                }
                1 => {
                    fleet.hosts[target].incarnation = Incarnation(incarnation + 1);
                    view = fleet.view(&view);
                    policy.update_view(START, view.clone());
                }
                _ => {
                    view = fleet.view(&view);
                    policy.update_view(START, view.clone());
                    policy.update_peers(START, &[]);
                }
            }
        }
        let counts = fill(&mut policy, &view);
        for (target, leaving) in leaving.iter().enumerate() {
            let key = view.target(&host(0, target)).unwrap();
            let incarnation = fleet.hosts[target].incarnation.0;
            let expected = if *leaving == incarnation { 0 } else { 8 };
            prop_assert_eq!(counts[key.index as usize], expected);
        }
    }
}

/// A notice with an earlier activation, which a peer still sends, must not close a host that the log
/// has activated again.
#[test]
fn active_again() {
    let mut fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    policy.mark_leaving(START, &notice(0, 1, 1));
    assert_eq!(policy.leaving_notices(), vec![notice(0, 1, 1)]);
    fleet.members[0].activation = 2;
    let view = fleet.view(&view);
    policy.update_view(START, view.clone());
    policy.mark_leaving(START, &notice(0, 1, 1));
    assert_eq!(policy.leaving_notices(), vec![]);
    assert_eq!(fill(&mut policy, &view), vec![8]);
}

/// A notice that arrives before its host appears in the view must not be lost.
#[test]
fn early_notice() {
    let mut fleet = Fleet::new(1, 2, 1);
    let late = fleet.hosts.pop().unwrap();
    let (mut policy, view) = fleet.policy(0);
    policy.mark_leaving(START, &notice(1, 1, 1));
    fleet.hosts.push(late);
    let view = fleet.view(&view);
    policy.update_view(START, view.clone());
    assert_eq!(fill(&mut policy, &view), vec![8, 0]);
}

/// Hosts that the log or the host list takes out of service must get no requests.
#[test]
fn inactive_host() {
    let mut fleet = Fleet::new(1, 3, 1);
    fleet.members[0].active = false;
    fleet.hosts[1].leaving = true;
    let (mut policy, view) = fleet.policy(0);
    assert_eq!(fill(&mut policy, &view), vec![0, 0, 8]);
}
