//! Guards against digests that exceed the byte budget or are sent too rarely.

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_peers::{
        decisions::{DIGEST_INTERVAL, DigestPacer, DigestPlan, NODE_BUDGET_BYTES, SILENCE_TIMEOUT},
        wire::DigestChange,
    },
};

const DEMAND_BYTES: usize = 170;
const MINOR_BYTES: usize = 12;
const SECONDS: u64 = 60;

struct PacerResult {
    bytes: u64,
    longest_gap: Millis,
}

/// Runs a pacer for a minute; `timer_delay` in milliseconds is added to each interval.
fn run(peers: usize, change: DigestChange, timer_delay: u64) -> PacerResult {
    let mut now = LocalTime(0);
    let mut pacer = DigestPacer::new(now, NODE_BUDGET_BYTES, peers);
    let mut last = now;
    let mut result = PacerResult {
        bytes: 0,
        longest_gap: Millis(0),
    };
    while now < LocalTime(SECONDS * 1_000) {
        let bytes = match pacer.plan(now, change) {
            DigestPlan::Skip => 0,
            DigestPlan::WithoutDemand => MINOR_BYTES,
            DigestPlan::Full => DEMAND_BYTES,
        };
        if bytes > 0 {
            pacer.charge(now, bytes);
            result.bytes += bytes as u64;
            result.longest_gap = result.longest_gap.max(now.since(last));
            last = now;
        }
        now = now + Millis(DIGEST_INTERVAL.0 + timer_delay);
    }
    result
}

/// When every demand changes in every interval, the digests to all peers together must stay within the budget.
#[test]
fn flood_budget() {
    for peers in [6, 20, 41] {
        let result = run(peers, DigestChange::Demand, 0);
        let total = result.bytes * peers as u64;
        // All connections together start with one second of credit, and each can overdraw its part by one digest.
        let margin = u64::from(NODE_BUDGET_BYTES) + (peers * DEMAND_BYTES) as u64;
        let limit = u64::from(NODE_BUDGET_BYTES) * SECONDS + margin;
        assert!(
            total <= limit,
            "{peers} peers: {total} bytes, limit {limit}"
        );
    }
}

/// A host without changes, or one whose budget is used up, must not seem silent when two consecutive digests
/// are lost.
#[test]
fn never_silent() {
    for change in [DigestChange::Minor, DigestChange::Demand] {
        for timer_delay in [0, 1, 20] {
            let gap = run(41, change, timer_delay).longest_gap;
            assert!(
                gap.0 * 3 < SILENCE_TIMEOUT.0,
                "{change:?}, timer delay {timer_delay} ms: gap of {gap}"
            );
        }
    }
}

/// A leaving notice must be sent at the next interval even when the budget is used up, and its loss must be
/// detected at the interval after that.
#[test]
fn urgent_first() {
    let mut pacer = DigestPacer::new(LocalTime(0), NODE_BUDGET_BYTES, 41);
    let mut now = LocalTime(0);
    let mut plan = |change| {
        let planned = pacer.plan(now, change);
        if planned != DigestPlan::Skip {
            pacer.charge(now, 100_000);
        }
        now = now + DIGEST_INTERVAL;
        planned
    };
    assert_eq!(plan(DigestChange::Minor), DigestPlan::Full);
    for _ in 0..3 {
        assert_ne!(plan(DigestChange::Minor), DigestPlan::Skip);
    }
    assert_eq!(plan(DigestChange::Demand), DigestPlan::Skip);
    assert_eq!(plan(DigestChange::Urgent), DigestPlan::WithoutDemand);
    assert_eq!(plan(DigestChange::Minor), DigestPlan::WithoutDemand);
}

/// The first digest, which names all services, must not delay demand by more than a few intervals.
#[test]
fn limited_debt() {
    let mut pacer = DigestPacer::new(LocalTime(0), NODE_BUDGET_BYTES, 41);
    pacer.plan(LocalTime(0), DigestChange::Demand);
    pacer.charge(LocalTime(0), 1_000);
    let later = LocalTime(1_200);
    assert_eq!(pacer.plan(later, DigestChange::Demand), DigestPlan::Full);
}
