//! Guards against constant overload of a target that declares more slots than it has.

use {
    super::{
        fleet::{Fleet, START, spec},
        one_end::handle,
    },
    goldcreststall_core::{
        ids::Millis,
        traffic::{SendOutcome, TrafficPolicy, Urgency},
    },
};

/// A target declares 8 slots. It gets a light load for 20 s and then more requests than it can serve. While it
/// actually has 2 slots and slows down in proportion, it must get fewer than 6 concurrent requests on average,
/// and once it has 8 slots at least 7 again.
#[test]
fn falls_and_rises() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    let mut sent = Vec::new();
    let mut overloaded = 0;
    let mut recovered = 0;
    for step in 0..120_000_u64 {
        let now = START + Millis(step);
        sent.retain(|(since, due, assignment)| {
            if *due <= now {
                let elapsed = now.since(*since);
                policy.finish(now, *assignment, SendOutcome::Answered { elapsed });
            }
            *due > now
        });
        if step % if step < 20_000 { 200 } else { 5 } == 0 {
            let request = spec(&view, 0, Urgency::Normal, now + Millis(10_000));
            let _ = policy.offer(now, handle(step as usize), request);
        }
        if step % 200 == 0 {
            policy.update_peers(now, &[]);
        }
        for assignment in policy.assign(now, step) {
            let slots = if step < 70_000 { 2 } else { 8 };
            let busy = sent.len() as u64 + 1;
            let elapsed = Millis(80 * busy.max(slots) / slots);
            sent.push((now, now + elapsed, assignment));
        }
        policy.expire(now);
        match step {
            50_000..70_000 => overloaded += sent.len(),
            100_000..120_000 => recovered += sent.len(),
            _ => {}
        }
    }
    assert!(overloaded < 6 * 20_000, "{}", overloaded / 20_000);
    assert!(recovered >= 7 * 20_000, "{}", recovered / 20_000);
}
