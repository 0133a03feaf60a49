//! Guards against changes that the audit trail does not explain, and against a trail that outgrows its bound.

mod fleet_model;

use {
    fleet_model::{SmallFleet, host, one_pool, pool, wave},
    goldcreststall_core::{
        audit::{
            AuditAction, AuditRecord, AuditSubject, AuditValue, HostCondition, HostSummary,
            MAX_AUDIT_RECORDS,
        },
        config::ConfigVersion,
        ids::Millis,
        ledger::{Author, Rejection, decode_state, encode_state},
        membership::{MembershipRecord as Record, WaveStatus},
    },
};

fn fleet() -> SmallFleet {
    let document = [one_pool("a", 1, "none"), one_pool("b", 0, "none")].concat();
    let mut fleet = SmallFleet::new(&document);
    fleet.add_hosts("h", 2, "a");
    fleet
}

fn value(condition: HostCondition, in_pool: &str) -> AuditValue {
    AuditValue::Host(HostSummary {
        condition,
        pool: pool(in_pool),
    })
}

fn steps(records: impl Iterator<Item = AuditRecord>) -> Vec<(AuditAction, AuditValue, AuditValue)> {
    records
        .map(|record| (record.action, record.from, record.to))
        .collect()
}

/// A move is listed with its pools, its author, its time and its offset in the log.
#[test]
fn host_changes() {
    let mut fleet = fleet();
    fleet.start_move("h0", "b").unwrap();
    fleet.now = fleet.now + Millis(5_000);
    fleet.finish_move("h0").unwrap();
    let (serving, moving) = (HostCondition::Serving, HostCondition::Moving);
    let expected = [
        (
            AuditAction::HostAdd,
            AuditValue::Absent,
            value(serving, "a"),
        ),
        (
            AuditAction::MoveStart,
            value(serving, "a"),
            value(moving, "a"),
        ),
        (
            AuditAction::MoveFinish,
            value(moving, "a"),
            value(serving, "b"),
        ),
    ];
    assert_eq!(steps(fleet.state.audit.by_host(&host("h0"))), expected);
    let last = fleet.state.audit.by_host(&host("h0")).next_back().unwrap();
    assert_eq!(last.author, Author("operator".to_owned()));
    assert_eq!(last.time, fleet.now);
    assert_eq!(last.offset.0 + 1, fleet.state.next().0);
    assert_eq!(fleet.state.audit.by_host(&host("h9")).count(), 0);
}

/// An ignored change is listed with its reason and without an effect.
#[test]
fn ignored_changes() {
    let mut fleet = fleet();
    fleet.down("h1").unwrap();
    fleet.stop("h0", None).unwrap_err();
    let record = fleet.state.audit.by_host(&host("h0")).next_back().unwrap();
    assert_eq!(record.result, Err(Rejection::BudgetSpent));
    assert_eq!(
        (record.action, &record.from),
        (AuditAction::StopStart, &record.to)
    );
    assert_eq!(fleet.publish("pools = 1"), Err(Rejection::InvalidConfig));
    let records = fleet.state.audit.by_version(ConfigVersion(1));
    let results: Vec<_> = records.map(|record| record.result).collect();
    assert_eq!(results, [Ok(()), Err(Rejection::InvalidConfig)]);
}

/// A wave is listed with its stops, and its cancellation with the hosts that serve again because of it.
#[test]
fn wave_changes() {
    let mut fleet = fleet();
    fleet.start_wave("w1", "a").unwrap();
    fleet.stop("h0", Some("w1")).unwrap();
    let seen = fleet.wave("w1").seen;
    let cancel = Record::WaveCancel {
        seen,
        wave: wave("w1"),
    };
    fleet.apply(cancel).unwrap();
    let (serving, stopping) = (HostCondition::Serving, HostCondition::Stopping);
    let status = AuditValue::Wave;
    let expected = [
        (
            AuditAction::WaveStart,
            AuditValue::Absent,
            status(WaveStatus::Running),
        ),
        (
            AuditAction::StopStart,
            value(serving, "a"),
            value(stopping, "a"),
        ),
        (
            AuditAction::WaveCancel,
            status(WaveStatus::Running),
            status(WaveStatus::Cancelled),
        ),
        (
            AuditAction::WaveCancel,
            value(stopping, "a"),
            value(serving, "a"),
        ),
    ];
    assert_eq!(steps(fleet.state.audit.by_wave(&wave("w1"))), expected);
    let last = fleet.state.audit.by_host(&host("h0")).next_back().unwrap();
    assert_eq!(last.subject, AuditSubject::Host(host("h0")));
    assert_eq!(last.wave, Some(wave("w1")));
}

/// Ignored changes that repeat for hours neither push out the accepted ones nor exceed the memory bound, and the
/// trail is part of the snapshot.
#[test]
fn bounded_trail() {
    let mut fleet = fleet();
    let accepted = fleet.state.audit.len();
    for number in 0..MAX_AUDIT_RECORDS + 10_000 {
        fleet.now = fleet.now + Millis(1_000);
        let name = host(&format!("x{number}"));
        let (_, seen) = fleet.seen("h0");
        let result = fleet.apply(Record::HostDown { host: name, seen });
        assert_eq!(result, Err(Rejection::UnknownHost));
    }
    let audit = &fleet.state.audit;
    assert!(audit.len() <= MAX_AUDIT_RECORDS);
    assert_eq!(
        audit
            .records()
            .filter(|record| record.result.is_ok())
            .count(),
        accepted
    );
    assert_eq!(
        audit.len() as u64 + audit.evicted(),
        (accepted + MAX_AUDIT_RECORDS + 10_000) as u64
    );
    assert_eq!(audit.by_host(&host("x0")).count(), 0);
    let added = (
        AuditAction::HostAdd,
        AuditValue::Absent,
        value(HostCondition::Serving, "a"),
    );
    assert_eq!(steps(audit.by_host(&host("h1"))), [added]);
    let last = audit.records().next_back().unwrap();
    let name = format!("x{}", MAX_AUDIT_RECORDS + 9_999);
    assert_eq!(last.subject, AuditSubject::Host(host(&name)));
    let bytes = encode_state(&fleet.state);
    // Worst case for the name table: each record has a name of its own.
    assert!(
        bytes.len() < 50 * MAX_AUDIT_RECORDS,
        "{} bytes",
        bytes.len()
    );
    assert_eq!(decode_state(&bytes), Ok(fleet.state));
}
