//! Guards against retries that multiply the load of a failing service.

use {
    super::{
        fleet::{Fleet, START, spec, test_config},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        traffic::{FairPolicy, SendOutcome, TrafficPolicy, Urgency},
    },
    proptest::prelude::*,
};

proptest! {
    #![proptest_config(test_config(64, 14))]

    /// Regardless of the number of entry hosts, all retries together stay within a tenth of the first
    /// attempts, and the retries of each entry host within a tenth of its first attempts of the last 10 s,
    /// although every request fails and every retry is requested.
    #[test]
    fn fleet_bound(
        entries in 1..8_usize,
        arrivals in prop::collection::vec((0..8_usize, 0..400_u64), 50..400),
    ) {
        let fleet = Fleet::new(1, 4, 1);
        let mut policies: Vec<FairPolicy> =
            (0..entries).map(|entry| fleet.policy(entry).0).collect();
        let view = fleet.policy(0).1;
        let mut now = START;
        let mut first_attempts = vec![Vec::new(); entries];
        let mut retries = vec![Vec::new(); entries];
        for (number, (entry, pause)) in arrivals.into_iter().enumerate() {
            now = now + Millis(pause);
            let entry = entry % entries;
            let policy = &mut policies[entry];
            let request = spec(&view, 0, Urgency::Normal, now + Millis(1_000));
            if policy.offer(now, handle(number), request).is_err() {
                continue;
            }
            first_attempts[entry].push(now);
            let mut attempts = 0;
            loop {
                attempts += 1;
                for assignment in policy.assign(now, number as u64) {
                    policy.finish(now, assignment, SendOutcome::Unknown);
                }
                if !policy.allow_retry(now, &request, attempts) {
                    break;
                }
                retries[entry].push(now);
                let recent = |times: &[LocalTime]| {
                    let times = times.iter();
                    times.filter(|at| now.since(**at) < Millis(10_000)).count()
                };
                prop_assert!(recent(&retries[entry]) * 10 <= recent(&first_attempts[entry]));
                policy.offer(now, handle(number), request).unwrap();
            }
            prop_assert!(attempts <= 3);
        }
        let count = |times: &[Vec<LocalTime>]| times.iter().map(Vec::len).sum::<usize>();
        prop_assert!(count(&retries) * 10 <= count(&first_attempts));
    }
}

/// A request that is not idempotent must never be retried, and no request more than twice.
#[test]
fn never_twice() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut request = spec(&view, 0, Urgency::Normal, START + Millis(1_000));
    for number in 0..100 {
        let _ = policy.offer(START, handle(number), request);
        for assignment in policy.assign(START, 1) {
            policy.finish(START, assignment, SendOutcome::Unknown);
        }
    }
    assert!(!policy.allow_retry(START, &request, 3));
    assert!(policy.allow_retry(START, &request, 2));
    request.idempotent = false;
    assert!(!policy.allow_retry(START, &request, 1));
}
