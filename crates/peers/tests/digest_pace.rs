//! Guards against digests that cost more than the budget or come too rarely.

use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_peers::{
        decisions::{DIGEST_INTERVAL, DigestPacer, NODE_BUDGET_BYTES, Pace, SILENCE_TIMEOUT},
        wire::DigestChange,
    },
};

const DEMAND_BYTES: usize = 170;
const PLAIN_BYTES: usize = 12;
const SECONDS: u64 = 60;

struct PaceResult {
    bytes: u64,
    longest_gap: Millis,
}

/// Runs a pacer for a minute; `late` is added to each interval.
fn run(peers: usize, change: DigestChange, late: u64) -> PaceResult {
    let mut now = LocalTime(0);
    let mut pacer = DigestPacer::new(now, NODE_BUDGET_BYTES, peers);
    let mut last = now;
    let mut result = PaceResult {
        bytes: 0,
        longest_gap: Millis(0),
    };
    while now < LocalTime(SECONDS * 1_000) {
        let bytes = match pacer.plan(now, change) {
            Pace::Skip => 0,
            Pace::WithoutDemand => PLAIN_BYTES,
            Pace::Full => DEMAND_BYTES,
        };
        if bytes > 0 {
            pacer.charge(now, bytes);
            result.bytes += bytes as u64;
            result.longest_gap = result.longest_gap.max(now.since(last));
            last = now;
        }
        now = now + Millis(DIGEST_INTERVAL.0 + late);
    }
    result
}

/// In a flood that changes every demand all the time, all peers together must stay within the budget.
#[test]
fn flood_budget() {
    for peers in [6, 20, 41] {
        let result = run(peers, DigestChange::Demand, 0);
        let total = result.bytes * peers as u64;
        // One second of credit and one digest that overdraws it come on top.
        let slack = u64::from(NODE_BUDGET_BYTES) + (peers * DEMAND_BYTES) as u64;
        let limit = u64::from(NODE_BUDGET_BYTES) * SECONDS + slack;
        assert!(
            total <= limit,
            "{peers} peers: {total} bytes, limit {limit}"
        );
    }
}

/// A quiet peer, or one whose budget is spent, must not seem silent when two digests in a row are lost.
#[test]
fn never_silent() {
    for change in [DigestChange::Minor, DigestChange::Demand] {
        for late in [0, 1, 20] {
            let gap = run(41, change, late).longest_gap;
            assert!(
                gap.0 * 3 < SILENCE_TIMEOUT.0,
                "{change:?}, late by {late}: gap of {gap}"
            );
        }
    }
}

/// A leaving notice must go out at the next interval even when the budget is spent, and its loss must be
/// noticed at the one after it.
#[test]
fn urgent_first() {
    let mut pacer = DigestPacer::new(LocalTime(0), NODE_BUDGET_BYTES, 41);
    let mut now = LocalTime(0);
    let mut plan = |change| {
        let pace = pacer.plan(now, change);
        if pace != Pace::Skip {
            pacer.charge(now, 100_000);
        }
        now = now + DIGEST_INTERVAL;
        pace
    };
    assert_eq!(plan(DigestChange::Minor), Pace::Full);
    for _ in 0..3 {
        assert_ne!(plan(DigestChange::Minor), Pace::Skip);
    }
    assert_eq!(plan(DigestChange::Demand), Pace::Skip);
    assert_eq!(plan(DigestChange::Urgent), Pace::WithoutDemand);
    assert_eq!(plan(DigestChange::Minor), Pace::WithoutDemand);
}

/// The digest that names all services must not hold back demand for more than some intervals.
#[test]
fn limited_debt() {
    let mut pacer = DigestPacer::new(LocalTime(0), NODE_BUDGET_BYTES, 41);
    pacer.plan(LocalTime(0), DigestChange::Demand);
    pacer.charge(LocalTime(0), 1_000);
    let later = LocalTime(1_200);
    assert_eq!(pacer.plan(later, DigestChange::Demand), Pace::Full);
}
