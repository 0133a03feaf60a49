//! Guards against a target that attracts requests because it fails quickly.

use {
    super::{
        fleet::{Fleet, START, host, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::Millis,
        traffic::{SendOutcome, TrafficPolicy, Urgency},
    },
};

/// One of four targets fails immediately during the first 20 s. It must get less than 2% of the requests while
/// it fails, only idempotent ones once the failure is detected, and a fair share 10 s after it has recovered.
#[test]
fn probed_only() {
    let fleet = Fleet::new(1, 4, 1);
    let (mut policy, view) = fleet.policy(0);
    let failing = view.target(&host(0, 0)).unwrap();
    let mut sent = Vec::new();
    let mut while_failing = [0, 0];
    let mut after_recovery = [0, 0];
    for step in 0..50_000_u64 {
        let now = START + Millis(step);
        sent.retain(|(due, assignment)| {
            let elapsed = Millis(50);
            if *due <= now {
                policy.finish(now, *assignment, SendOutcome::Answered { elapsed });
            }
            *due > now
        });
        if step % 5 == 0 {
            let mut request = spec(&view, 0, Urgency::Normal, now + Millis(1_000));
            request.idempotent = step % 10 == 0;
            let _ = policy.offer(now, handle(step as usize), request);
        }
        let random = step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        for assignment in policy.assign(now, random) {
            let hit = usize::from(assignment.target == failing);
            if step >= 30_000 {
                after_recovery[hit] += 1;
            } else if step < 20_000 {
                while_failing[hit] += 1;
                if hit == 1 && step > 5_000 {
                    assert_eq!(assignment.handle.0 % 10, 0, "a probe must be idempotent");
                }
            }
            if hit == 1 && step < 20_000 {
                policy.finish(now, assignment, SendOutcome::Failed { elapsed: Millis(1) });
            } else {
                sent.push((now + Millis(50), assignment));
            }
        }
        policy.expire(now);
    }
    assert!(
        while_failing[1] * 50 < while_failing[0],
        "{while_failing:?}"
    );
    assert!(while_failing[1] >= 3, "{while_failing:?}");
    assert!(
        after_recovery[1] * 8 > after_recovery[0],
        "{after_recovery:?}"
    );
}

/// Simultaneous failures of all targets must not close the service.
#[test]
fn all_fail() {
    let fleet = Fleet::new(1, 2, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut assigned = 0;
    for step in 0..2_000 {
        let now = START + Millis(step);
        let request = spec(&view, 0, Urgency::Normal, now + Millis(1_000));
        let _ = policy.offer(now, handle(step as usize), request);
        for assignment in policy.assign(now, step) {
            assigned += 1;
            policy.finish(now, assignment, SendOutcome::Unknown);
        }
    }
    assert!(assigned > 1_000, "{assigned}");
}
