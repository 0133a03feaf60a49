use {
    goldcreststall_core::{
        ids::{LocalTime, RecordId},
        ledger::{FleetState, LedgerRecord, LogIdentity, LogOffset, Rejection},
    },
    goldcreststall_platform::{hosts::HostsReply, log::RawEntry},
    tokio::sync::oneshot,
};

/// Entries read from the log, in order.
pub(super) struct ApplyEntries {
    pub(super) entries: Vec<RawEntry>,
    pub(super) log: LogIdentity,
}

/// The log was read to its end at least once.
pub(super) struct CaughtUp;

/// A state that was loaded from a snapshot or taken from a peer.
pub(super) struct LoadState {
    pub(super) state: Box<FleetState>,
}

/// The list of hosts was read.
pub(super) struct UpdateHosts {
    pub(super) reply: HostsReply,
}

/// A record to append; the sender is told once it was read back from the log.
pub(super) struct ProposeRecord {
    pub(super) give_up: LocalTime,
    pub(super) record: LedgerRecord,
    pub(super) result: oneshot::Sender<Result<(), Rejection>>,
}

/// The proposer of a record no longer waits. A claim that is still accepted is released.
pub(super) struct AbandonRecord {
    pub(super) id: RecordId,
}

/// Asks for a part of the state.
pub(super) struct ReadState {
    pub(super) read: Box<dyn FnOnce(&FleetState) + Send>,
}

/// How far the state has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, kameo::Reply)]
pub(super) struct FoldPosition {
    pub(super) log: LogIdentity,
    pub(super) next: LogOffset,
}

/// Asks for the position of the fold.
pub(super) struct AskPosition;
