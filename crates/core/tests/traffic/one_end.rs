//! Guards against requests that are lost, end twice, or run although they were refused.

use {
    super::fleet::{Fleet, START, equal_digests, spec, test_config},
    goldcreststall_core::{
        error::OutcomeClass,
        ids::{Incarnation, Millis},
        traffic::{Refusal, RequestHandle, SendOutcome, TrafficPolicy, Urgency},
    },
    proptest::prelude::*,
};

pub fn handle(number: usize) -> RequestHandle {
    RequestHandle(number as u64)
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    Assigned,
    Cancelled,
    Queued,
    Refused,
}

/// How each offered request ended; a second end fails the test.
#[derive(Default)]
struct RequestEnds(Vec<RequestEnd>);

impl RequestEnds {
    fn end(&mut self, handle: RequestHandle, end: RequestEnd) -> Result<(), TestCaseError> {
        let known = &mut self.0[handle.0 as usize];
        prop_assert_eq!(*known, RequestEnd::Queued, "{:?} after {:?}", end, handle);
        *known = end;
        Ok(())
    }

    fn refuse(&mut self, refusals: Vec<Refusal>) -> Result<(), TestCaseError> {
        for refusal in refusals {
            let class = refusal.kind.response().class;
            prop_assert_eq!(class, OutcomeClass::NotRun);
            self.end(refusal.handle, RequestEnd::Refused)?;
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(test_config(512, 12))]

    /// Each offered request ends exactly once, and refusals have the outcome class `NotRun`.
    #[test]
    fn every_request(steps in prop::collection::vec((0..12_u8, any::<u64>()), 1..300)) {
        let mut fleet = Fleet::new(1, 3, 4);
        fleet.config.services[0].max_queue = 40;
        let (mut policy, mut view) = fleet.policy(0);
        let mut ends = RequestEnds::default();
        let mut sent = Vec::new();
        let mut now = START;
        for (kind, random) in steps {
            now = now + Millis(random % 60);
            match kind {
                0..=5 => {
                    let urgency = match random % 3 {
                        0 => Urgency::Urgent,
                        1 => Urgency::Normal,
                        _ => Urgency::Overnight,
                    };
                    let deadline = now + Millis(random % 3_000);
                    let request = spec(&view, random as usize % 4, urgency, deadline);
                    let handle = handle(ends.0.len());
                    ends.0.push(RequestEnd::Queued);
                    if let Err(kind) = policy.offer(now, handle, request) {
                        prop_assert_eq!(kind.response().class, OutcomeClass::NotRun);
                        ends.end(handle, RequestEnd::Refused)?;
                    }
                }
                6 => ends.refuse(policy.expire(now))?,
                7 | 8 => {
                    for assignment in policy.assign(now, random) {
                        ends.end(assignment.handle, RequestEnd::Assigned)?;
                        sent.push(assignment);
                    }
                }
                9 if !sent.is_empty() => {
                    let assignment = sent.swap_remove(random as usize % sent.len());
                    let outcome = match random % 4 {
                        0 => SendOutcome::Unknown,
                        1 => SendOutcome::NotRun,
                        _ => SendOutcome::Answered { elapsed: Millis(random % 500) },
                    };
                    policy.finish(now, assignment, outcome);
                }
                10 if !ends.0.is_empty() => {
                    let handle = handle(random as usize % ends.0.len());
                    if policy.cancel(now, handle) {
                        ends.end(handle, RequestEnd::Cancelled)?;
                    }
                }
                _ => {
                    let host = &mut fleet.hosts[random as usize % 3];
                    host.leaving = random & 8 > 0;
                    host.incarnation = Incarnation(host.incarnation.0 + random / 16 % 2);
                    view = fleet.view(&view);
                    policy.update_view(now, view.clone());
                    policy.update_peers(now, &equal_digests(now, 1 + random as usize % 3, 9));
                }
            }
        }
        ends.refuse(policy.drain(now))?;
        for (number, end) in ends.0.iter().enumerate() {
            prop_assert_ne!(*end, RequestEnd::Queued, "request {} was lost", number);
        }
        prop_assert_eq!(policy.assign(now, 1), vec![]);
    }
}

/// A request whose deadline passed while it was queued must not be sent.
#[test]
fn late_request() {
    let fleet = Fleet::new(1, 1, 1);
    let (mut policy, view) = fleet.policy(0);
    for number in 0..9 {
        let request = spec(&view, 0, Urgency::Normal, START + Millis(1_000));
        policy.offer(START, handle(number), request).unwrap();
    }
    let sent = policy.assign(START, 1);
    assert_eq!(sent.len(), 8);
    let late = START + Millis(1_000);
    policy.finish(late, sent[0], SendOutcome::Unknown);
    assert_eq!(policy.assign(late, 1), vec![]);
    assert_eq!(policy.expire(late).len(), 1);
}
