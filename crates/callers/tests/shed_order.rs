//! Guards against a decision under pressure that ends the wrong connection.

use {
    goldcreststall_callers::intake::{
        CloseReason, ConnectionStop, IntakeLimits, IntakeTable, Reservation,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

fn table(connections: usize) -> IntakeTable {
    IntakeTable::new(IntakeLimits {
        body_bytes: 1_000,
        connections,
        incomplete: connections,
        ..IntakeLimits::derive(None, None)
    })
}

fn open(table: &mut IntakeTable, at: u64) -> u64 {
    table.open(LocalTime(at)).0.expect("a connection")
}

/// Opens a connection with `received` of at most 400 bytes of a body, all reserved.
fn body(table: &mut IntakeTable, began: u64, received: usize, progress: u64) -> u64 {
    let id = open(table, began);
    table.begin_body(id, 400, LocalTime(began));
    table.receive_body(id, received, LocalTime(progress));
    assert_ne!(
        table.reserve(id, 400, LocalTime(progress)),
        Reservation::Refused
    );
    id
}

/// Guards against an ordinary caller that is refused because others stopped just short of the end of their bodies.
#[test]
fn stalled_body() {
    let mut table = table(10);
    let stalled = body(&mut table, 0, 399, 0);
    let moving = body(&mut table, 2_000, 200, 2_900);
    let new = open(&mut table, 3_000);
    table.begin_body(new, 300, LocalTime(3_000));
    let stop = ConnectionStop::Refuse(stalled, CloseReason::BodyBudget);
    assert_eq!(
        table.reserve(new, 300, LocalTime(3_000)),
        Reservation::Granted(vec![stop])
    );
    assert_eq!(table.held(), 700);
    table.close(moving);
    assert_eq!(table.held(), 300);
}

/// Guards against a refusal of requests that are complete: they may have run.
#[test]
fn complete_request() {
    let mut table = table(10);
    for _ in 0..2 {
        let id = body(&mut table, 0, 400, 0);
        table.begin_handling(id, LocalTime(10));
    }
    let new = open(&mut table, 5_000);
    table.begin_body(new, 300, LocalTime(5_000));
    assert_eq!(
        table.reserve(new, 300, LocalTime(5_000)),
        Reservation::Refused
    );
    assert_eq!(table.held(), 800);
    assert_eq!(table.stops()[CloseReason::BodyBudget as usize], 1);
}

/// Guards against idle connections of ordinary callers that are closed in place of those that never send a request.
#[test]
fn silent_first() {
    let mut table = table(3);
    let served = open(&mut table, 0);
    table.receive(served, LocalTime(1));
    table.begin_body(served, 0, LocalTime(1));
    table.begin_handling(served, LocalTime(1));
    table.begin_answer(served, LocalTime(2));
    table.finish_answer(served, LocalTime(2));
    let silent = open(&mut table, 100);
    let slow = open(&mut table, 200);
    table.receive(slow, LocalTime(200));
    for (at, expected) in [(300, silent), (400, slow)] {
        let (_, stop) = table.open(LocalTime(at));
        let closed = ConnectionStop::Close(expected, CloseReason::Connections);
        assert_eq!(stop, Some(closed));
    }
    assert_eq!(table.connections(), 3);
}

/// Guards against a new connection that ends one whose request is handled or whose answer is ready.
#[test]
fn busy_connections() {
    let mut table = table(2);
    let handled = open(&mut table, 0);
    table.begin_handling(handled, LocalTime(0));
    let answered = open(&mut table, 0);
    table.begin_answer(answered, LocalTime(9_000));
    table.set_blocked(answered, true, LocalTime(9_000));
    assert_eq!(table.open(LocalTime(9_100)), (None, None));
    let (_, stop) = table.open(LocalTime(13_000));
    let closed = ConnectionStop::Close(answered, CloseReason::Connections);
    assert_eq!(stop, Some(closed));
}

/// Guards against callers that keep all connections by sending request after request, none of which is shed.
#[test]
fn full_table() {
    let mut table = table(2);
    let first = open(&mut table, 0);
    table.begin_handling(first, LocalTime(0));
    assert!(!table.ends_answered());
    let second = open(&mut table, 0);
    table.begin_handling(second, LocalTime(0));
    assert!(table.ends_answered());
    table.close(first);
    assert!(!table.ends_answered());
}

/// Guards against limits in time that end idle connections too early, or slow ones never.
#[test]
fn time_limits() {
    let mut table = table(10);
    let idle = open(&mut table, 0);
    let head = open(&mut table, 0);
    table.receive(head, LocalTime(0));
    let stalled = body(&mut table, 0, 10, 0);
    let slow = body(&mut table, 0, 10, 0);
    assert_eq!(table.expire(LocalTime(3_000)), []);
    let closed = ConnectionStop::Close(head, CloseReason::HeaderTimeout);
    assert_eq!(table.expire(LocalTime(3_001)), [closed]);
    table.receive_body(slow, 1, LocalTime(5_000));
    let refused = ConnectionStop::Refuse(stalled, CloseReason::BodyStalled);
    assert_eq!(table.expire(LocalTime(5_001)), [refused]);
    assert_eq!(table.held(), 400);
    for second in 6..=30 {
        table.receive_body(slow, 1, LocalTime(second * 1_000));
    }
    table.receive(idle, LocalTime(15_000));
    table.begin_handling(idle, LocalTime(15_000));
    let stops = table.expire(LocalTime(30_001));
    assert!(stops.contains(&ConnectionStop::Refuse(slow, CloseReason::BodyTimeout)));
    assert_eq!(table.held(), 0);
}

/// Guards against limits that grow beyond the memory or the descriptors of the process.
#[test]
fn derived_limits() {
    let small = IntakeLimits::derive(Some(160), Some(4_100));
    assert_eq!((small.connections, small.incomplete), (640, 480));
    assert_eq!(small.body_bytes, 20 * 1024 * 1024);
    let few = IntakeLimits::derive(Some(512), Some(280));
    assert_eq!(few.connections, 40);
    assert_eq!(few.header_timeout, Millis(3_000));
    assert_eq!(IntakeLimits::derive(Some(0), Some(0)).connections, 8);
}
