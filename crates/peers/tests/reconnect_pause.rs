//! Guards against reconnecting to a peer too often, too rarely or from all entry hosts at once.

use {
    goldcreststall_core::ids::Millis, goldcreststall_peers::decisions::ReconnectBackoff,
    std::collections::BTreeSet,
};

/// The delay must grow, stay within the bound for leaving targets, and vary with the random number.
#[test]
fn delay_bounds() {
    let mut backoff = ReconnectBackoff::default();
    let max_delay = [100, 200, 400, 500, 500].map(Millis);
    for (random, max_delay) in (0..).zip(max_delay) {
        let delay = backoff.record_failure(u64::MAX - random);
        assert!(max_delay.0 / 2 <= delay.0 && delay <= max_delay, "{delay}");
    }
    let delays: BTreeSet<_> = (0..1_000)
        .map(|random| backoff.record_failure(random))
        .collect();
    assert_eq!(delays.len(), 251);
    backoff.reset();
    assert!(backoff.record_failure(7) <= Millis(100));
}

/// The computation of the delay must not overflow when a peer is down for weeks.
#[test]
fn many_failures() {
    let mut backoff = ReconnectBackoff::default();
    let last = (0..1_000_000)
        .map(|random| backoff.record_failure(random))
        .last();
    assert!(last.unwrap() >= Millis(250));
}
