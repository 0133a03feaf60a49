//! Guards against a peer that is dialled too often, too rarely or by all entry hosts at once.

use {
    goldcreststall_core::ids::Millis, goldcreststall_peers::decisions::ReconnectBackoff,
    std::collections::BTreeSet,
};

/// The pause must grow, stay within the bound for leaving targets, and differ with the random number.
#[test]
fn pause_bounds() {
    let mut backoff = ReconnectBackoff::default();
    let longest = [100, 200, 400, 500, 500].map(Millis);
    for (random, longest) in (0..).zip(longest) {
        let pause = backoff.fail(u64::MAX - random);
        assert!(longest.0 / 2 <= pause.0 && pause <= longest, "{pause}");
    }
    let pauses: BTreeSet<_> = (0..1_000).map(|random| backoff.fail(random)).collect();
    assert_eq!(pauses.len(), 251);
    backoff.reset();
    assert!(backoff.fail(7) <= Millis(100));
}

/// A peer that is down for weeks must not make the pause overflow.
#[test]
fn many_failures() {
    let mut backoff = ReconnectBackoff::default();
    let last = (0..1_000_000).map(|random| backoff.fail(random)).last();
    assert!(last.unwrap() >= Millis(250));
}
