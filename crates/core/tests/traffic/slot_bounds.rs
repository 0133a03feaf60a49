//! Guards against targets that get more concurrent requests than they have slots.

use {
    super::fleet::{Fleet, START, equal_digests, spec, test_config},
    goldcreststall_core::{
        ids::{Incarnation, Millis},
        traffic::{SendOutcome, SlotDivision, TrafficPolicy, Urgency},
    },
    proptest::prelude::*,
};

proptest! {
    #![proptest_config(test_config(256, 11))]

    /// One entry host never has more requests in flight at a target than the target has slots, whatever
    /// digests, responses and views arrive in between.
    #[test]
    fn one_entry(steps in prop::collection::vec((0..5_u8, any::<u64>()), 1..200)) {
        let mut fleet = Fleet::new(1, 4, 2);
        let (mut policy, mut view) = fleet.policy(0);
        let mut now = START;
        let mut sent = Vec::new();
        for (number, (kind, random)) in steps.into_iter().enumerate() {
            now = now + Millis(random % 50);
            match kind {
                0 | 1 => {
                    for copy in 0..8 {
                        let handle = super::one_end::handle(number * 8 + copy);
                        let request = spec(&view, 0, Urgency::Normal, now + Millis(60_000));
                        let _ = policy.offer(now, handle, request);
                    }
                    sent.extend(policy.assign(now, random));
                }
                2 if !sent.is_empty() => {
                    let assignment = sent.swap_remove(random as usize % sent.len());
                    let elapsed = Millis(random % 1_000);
                    policy.finish(now, assignment, SendOutcome::Answered { elapsed });
                }
                3 => {
                    let digests = equal_digests(now, 1 + random as usize % 9, random as u32 % 40);
                    policy.update_peers(now, &digests);
                }
                _ => {
                    let host = &mut fleet.hosts[random as usize % 4];
                    host.incarnation = Incarnation(host.incarnation.0 + random % 2);
                    view = fleet.view(&view);
                    policy.update_view(now, view.clone());
                }
            }
            for (index, target) in view.targets.iter().enumerate() {
                let in_flight = sent.iter().filter(|in_flight| {
                    in_flight.target.index as usize == index
                        && in_flight.target.generation == target.generation
                });
                prop_assert!(in_flight.count() <= target.slots as usize);
            }
        }
    }

    /// The shares of all entry hosts sum up to the slots of each target. An entry host with demand has a
    /// slot at every target with enough slots, or at the first three of them if one entry host has about
    /// twice the mean demand, and over all targets at least about a quarter of an even share.
    #[test]
    fn share_sums(
        demands in prop::collection::vec(0..1_000_u32, 1..12),
        slots in prop::collection::vec(0..40_u32, 1..30),
    ) {
        let mut division = SlotDivision::new(&demands);
        let with_demand = demands.iter().filter(|demand| **demand > 0).count() as u32;
        let max_demand = demands.iter().max().copied().unwrap_or_default();
        let uneven = 4 * max_demand * with_demand >= 7 * demands.iter().sum::<u32>();
        let mut min_slot_targets = if uneven { 3 } else { usize::MAX };
        let mut totals = vec![0; demands.len()];
        for slots in &slots {
            let shares = division.next_target(*slots);
            let expected = if with_demand > 0 { *slots } else { 0 };
            prop_assert_eq!(shares.iter().sum::<u32>(), expected);
            let has_min_slot = with_demand <= *slots && min_slot_targets > 0;
            min_slot_targets -= usize::from(has_min_slot);
            for ((share, demand), total) in shares.iter().zip(&demands).zip(&mut totals) {
                prop_assert!(*share >= u32::from(has_min_slot && *demand > 0));
                *total += *share;
            }
        }
        let min_total = slots.iter().sum::<u32>() / (4 * with_demand).max(1);
        for (total, demand) in totals.iter().zip(&demands) {
            prop_assert!(*demand == 0 || *total + 2 >= min_total, "{} of {}", total, min_total);
        }
    }

    /// Entry hosts with uneven demand, equal digests and full queues together use exactly the slots of each
    /// target.
    #[test]
    fn uneven_entries(demands in prop::collection::vec(0..300_u32, 2..9), random in any::<u64>()) {
        let fleet = Fleet::new(1, 5, 1);
        let mut digests = equal_digests(START, demands.len(), 0);
        for (digest, demand) in digests.iter_mut().zip(&demands) {
            digest.services[0].requests = demand + 1;
        }
        let mut in_flight = vec![0; 5];
        for entry in 0..demands.len() {
            let (mut policy, view) = fleet.policy(entry);
            policy.update_peers(START, &digests);
            for number in 0..60 {
                let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
                let _ = policy.offer(START, super::one_end::handle(number), request);
            }
            for assignment in policy.assign(START, random) {
                in_flight[assignment.target.index as usize] += 1;
            }
        }
        prop_assert!(in_flight.iter().all(|count| *count == 8), "{:?}", in_flight);
    }

    /// Entry hosts with equal demand, equal digests and full queues together never exceed the slots of a target.
    #[test]
    fn all_entries(count in 2..9_usize, demand in 1..50_u32, random in any::<u64>()) {
        let fleet = Fleet::new(1, 5, 1);
        let digests = equal_digests(START, count, demand);
        let mut in_flight = vec![0; 5];
        for entry in 0..count {
            let (mut policy, view) = fleet.policy(entry);
            policy.update_peers(START, &digests);
            for number in 0..60 {
                let request = spec(&view, 0, Urgency::Urgent, START + Millis(60_000));
                let _ = policy.offer(START, super::one_end::handle(number), request);
            }
            for assignment in policy.assign(START, random) {
                in_flight[assignment.target.index as usize] += 1;
            }
        }
        prop_assert!(in_flight.iter().all(|count| *count <= 8), "{:?}", in_flight);
        prop_assert_eq!(in_flight.iter().sum::<i32>(), 40);
    }
}

/// The minimum slots of the other entry hosts must not limit one with 57% of the demand to two of eight slots.
#[test]
fn uneven_demand() {
    let mut division = SlotDivision::new(&[80, 10, 10, 10, 10, 10, 10]);
    let mut totals = [0; 7];
    for _ in 0..10 {
        for (total, share) in totals.iter_mut().zip(division.next_target(8)) {
            *total += share;
        }
    }
    assert!(totals[0] >= 40, "{totals:?}");
    assert!(totals[1..].iter().all(|total| *total >= 5), "{totals:?}");
}

/// A peer that no longer sends digests must not keep its slots.
#[test]
fn silent_peer() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut digests = equal_digests(START, 2, 10);
    let later = START + Millis(2_001);
    digests[0].last_contact = later;
    policy.update_peers(later, &digests);
    for number in 0..20 {
        let request = spec(&view, 0, Urgency::Urgent, later + Millis(60_000));
        policy
            .offer(later, super::one_end::handle(number), request)
            .unwrap();
    }
    assert_eq!(policy.assign(later, 1).len(), 8);
}
