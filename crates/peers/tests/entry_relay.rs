//! Guards against log entries that a lagging entry host skips or never receives.

mod support;

use {
    goldcreststall_core::{
        ids::{EntryName, LocalTime, Millis},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{
            CatchUp, CatchUpStep, LogEntryBuffer, MAX_BUFFER_BYTES, MAX_RESPONSE_BYTES,
            PEER_COOLDOWN, PushResult, STALL_TIMEOUT,
        },
        wire::{
            EntriesResponse, FetchEntries, Frame, LogPosition, MAX_ENTRY_BYTES, RawEntries,
            WireError,
        },
    },
    proptest::prelude::*,
    std::time::Duration,
    support::{LOG, Network, at, config, entry_name, log_entry, start_hosts},
    tokio::time::sleep,
};

fn buffer(sizes: &[usize]) -> LogEntryBuffer {
    let mut buffer = LogEntryBuffer::new(LOG, LogOffset(0));
    for (offset, size) in (0..).zip(sizes) {
        buffer.push(LOG, log_entry(offset, *size));
    }
    buffer
}

fn fetch(from: u64) -> FetchEntries {
    FetchEntries {
        from: LogOffset(from),
        log: LOG,
    }
}

proptest! {
    #![proptest_config(config(64, 54))]

    /// A peer that fetches until nothing is left receives every entry once and in order, or the response that
    /// the offset is no longer available; the buffer stays within its bound.
    #[test]
    fn no_entry_skipped(sizes in prop::collection::vec(0..300_000_usize, 1..60), from in 0..60_u64) {
        let buffer = buffer(&sizes);
        prop_assert!(buffer.bytes() <= MAX_BUFFER_BYTES);
        let mut next = from;
        loop {
            match buffer.respond(fetch(next)) {
                EntriesResponse::Gone { first, .. } => {
                    prop_assert!(next == from && LogOffset(from) < first);
                    prop_assert_eq!(first, buffer.first());
                    return Ok(());
                }
                EntriesResponse::Entries { entries, .. } if entries.is_empty() => break,
                EntriesResponse::Entries { entries, .. } => {
                    let total: usize = entries.iter().map(|entry| entry.bytes.len()).sum();
                    prop_assert!(entries.len() == 1 || total <= MAX_RESPONSE_BYTES);
                    for entry in entries {
                        prop_assert_eq!(entry.offset, LogOffset(next));
                        prop_assert_eq!(entry.bytes.len(), sizes[next as usize]);
                        next += 1;
                    }
                }
                EntriesResponse::OtherLog => prop_assert!(false, "the log is the same"),
            }
        }
        prop_assert_eq!(next, (sizes.len() as u64).max(from));
    }
}

/// Entries from before a gap must not be served as if they were consecutive with those after it.
#[test]
fn gap_restarts() {
    let mut buffer = buffer(&[10, 10, 10]);
    assert_eq!(buffer.push(LOG, log_entry(1, 10)), PushResult::Known);
    assert_eq!(buffer.push(LOG, log_entry(5, 10)), PushResult::Restarted);
    let gone = EntriesResponse::Gone {
        first: LogOffset(5),
        log: LOG,
    };
    assert_eq!(buffer.respond(fetch(2)), gone);
}

/// Offsets of another log refer to different entries and must not be served.
#[test]
fn other_log() {
    let mut buffer = buffer(&[10, 10]);
    let other = FetchEntries {
        log: LogIdentity(8),
        ..fetch(1)
    };
    assert_eq!(buffer.respond(other), EntriesResponse::OtherLog);
    assert_eq!(
        buffer.push(LogIdentity(8), log_entry(2, 10)),
        PushResult::Restarted
    );
    assert_eq!(buffer.respond(fetch(1)), EntriesResponse::OtherLog);
}

/// The largest buffered entry must fit into a frame, and a larger one must not be skipped silently.
#[test]
fn large_entry() {
    let mut buffer = buffer(&[MAX_ENTRY_BYTES]);
    let response = buffer.respond(fetch(0));
    let frame = Frame::Entries(response.clone()).encode();
    assert!(frame.len() <= goldcreststall_peers::wire::MAX_FRAME_BYTES);
    assert_eq!(
        Frame::decode(frame.as_ref().into()),
        Ok(Frame::Entries(response))
    );
    assert_eq!(
        buffer.push(LOG, log_entry(1, MAX_ENTRY_BYTES + 1)),
        PushResult::TooLarge
    );
    assert!(matches!(
        buffer.respond(fetch(1)),
        EntriesResponse::Gone { .. }
    ));
}

/// Offsets that wrap around must not be taken for old ones.
#[test]
fn wrapping_offset() {
    let raw = RawEntries {
        entries: vec![Default::default()],
        first: u64::MAX,
        ..RawEntries::default()
    };
    let result = EntriesResponse::try_from(raw);
    assert!(
        matches!(result, Err(WireError::OutOfRange { .. })),
        "{result:?}"
    );
}

fn ahead(names: &[&str]) -> Vec<(EntryName, LogPosition)> {
    names
        .iter()
        .map(|name| (entry_name(name), at(20)))
        .collect()
}

/// A host that reads the log must not send requests to its peers, and one that is stuck must not wait forever.
#[test]
fn stalled_host() {
    let mut catch_up = CatchUp::default();
    let peers = ahead(&["e1"]);
    let start = LocalTime(0);
    assert_eq!(catch_up.plan(start, at(5), &peers, 0), CatchUpStep::Wait);
    let progress = start + Millis(900);
    assert_eq!(catch_up.plan(progress, at(6), &peers, 0), CatchUpStep::Wait);
    let early = start + STALL_TIMEOUT;
    assert_eq!(catch_up.plan(early, at(6), &peers, 0), CatchUpStep::Wait);
    let late = progress + STALL_TIMEOUT;
    let step = |from| CatchUpStep::Fetch {
        fetch: fetch(from),
        peer: entry_name("e1"),
    };
    assert_eq!(catch_up.plan(late, at(6), &peers, 0), step(6));
    catch_up.handle_fetched(at(12));
    assert_eq!(catch_up.plan(late, at(12), &peers, 0), step(12));
    let other = LogPosition {
        log: LogIdentity(8),
        ..at(30)
    };
    let other_log_peers = [(entry_name("e1"), other)];
    assert_eq!(
        catch_up.plan(late, at(12), &other_log_peers, 0),
        CatchUpStep::Wait
    );
}

/// A peer that no longer has the entries must not be queried in a loop while another one may have them.
#[test]
fn dropped_entries() {
    let mut catch_up = CatchUp::default();
    let peers = ahead(&["e1", "e2"]);
    catch_up.plan(LocalTime(0), at(5), &peers, 0);
    let now = LocalTime(0) + STALL_TIMEOUT;
    let gone = EntriesResponse::Gone {
        first: LogOffset(9),
        log: LOG,
    };
    catch_up.handle_response(now, &entry_name("e1"), Some(&gone));
    for random in 0..4 {
        let step = catch_up.plan(now, at(5), &peers, random);
        assert!(matches!(step, CatchUpStep::Fetch { peer, .. } if peer == entry_name("e2")));
    }
    catch_up.handle_response(now, &entry_name("e2"), None);
    assert_eq!(catch_up.plan(now, at(5), &peers, 0), CatchUpStep::Wait);
    catch_up.handle_response(now, &entry_name("e2"), Some(&gone));
    let step = catch_up.plan(now, at(5), &peers, 0);
    assert!(matches!(step, CatchUpStep::FetchState { .. }), "{step:?}");
    let cooled_down = now + PEER_COOLDOWN;
    let step = catch_up.plan(cooled_down, at(5), &peers, 0);
    assert!(matches!(step, CatchUpStep::Fetch { .. }), "{step:?}");
}

/// Entries must arrive over a connection as they were added to the buffer.
#[tokio::test(start_paused = true)]
async fn over_connection() {
    let network = Network::new(4);
    let hosts = start_hosts(&network, 2);
    hosts[1].handler.state.lock().unwrap().buffer = buffer(&[300_000, 10, 10]);
    sleep(Duration::from_secs(1)).await;
    let response = hosts[0]
        .mesh
        .fetch_entries(&entry_name("e2"), fetch(1))
        .await;
    let entries = vec![log_entry(1, 10), log_entry(2, 10)];
    assert_eq!(
        response.unwrap(),
        EntriesResponse::Entries { entries, log: LOG }
    );
}

/// A response that does not start at the requested offset must be rejected, or it would leave a gap in the
/// state.
#[tokio::test(start_paused = true)]
async fn wrong_response() {
    let network = Network::new(5);
    let hosts = start_hosts(&network, 2);
    let entries = vec![log_entry(2, 10)];
    let response = EntriesResponse::Entries { entries, log: LOG };
    hosts[1].handler.state.lock().unwrap().replacement_response = Some(response);
    sleep(Duration::from_secs(1)).await;
    let response = hosts[0]
        .mesh
        .fetch_entries(&entry_name("e2"), fetch(1))
        .await;
    assert!(response.is_err(), "{response:?}");
}
