//! Guards against a reboot of a host on which an entry host still has a request in flight.

use {
    goldcreststall_core::{
        ids::{EntryId, EntryName, HostName, Incarnation},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_entry::peering::PeerState,
    goldcreststall_peers::wire::LogPosition,
};

fn position(next: u64) -> LogPosition {
    LogPosition {
        log: LogIdentity(7),
        next: LogOffset(next),
    }
}

/// Peers assume that the published list of busy hosts covers every host whose stop precedes the published position in
/// the log. An entry host may be frozen between applying the log and updating that list, so it must not publish the new
/// position before the update.
#[test]
fn position_follows_traffic() {
    let entry = EntryId {
        incarnation: Incarnation(1),
        name: EntryName::try_from("e1").unwrap(),
    };
    let peer_state = PeerState::new(entry, 0);
    let host = HostName::try_from("orders-0").unwrap();
    peer_state.set_position(position(4));
    let seen = peer_state.applied_position();
    peer_state.set_traffic(Vec::new(), Vec::new(), Vec::new(), seen);
    peer_state.set_position(position(9));
    assert_eq!(peer_state.content().position(), Some(position(4)));
    assert!(peer_state.is_idle(&host, position(4)));
    assert!(!peer_state.is_idle(&host, position(9)));
    let busy = vec![host.clone()];
    peer_state.set_traffic(Vec::new(), Vec::new(), busy, peer_state.applied_position());
    assert_eq!(peer_state.content().position(), Some(position(9)));
    assert!(!peer_state.is_idle(&host, position(9)));
}
