use {
    super::proposal_table::OutcomeSender,
    crate::duty::{DutyPlan, WorkerPoller},
    bytes::Bytes,
    goldcreststall_core::{
        ids::{LocalTime, LogTime, PoolName, RecordId},
        ledger::{FleetState, LedgerRecord, LogIdentity, LogOffset},
    },
    goldcreststall_peers::wire::{EntriesResponse, FetchEntries, LogPosition},
    goldcreststall_platform::{hosts::HostListing, log::RawEntry},
};

/// Applies entries that were read from the log or fetched from a peer, in order of offset.
pub(crate) struct ApplyEntries {
    pub(crate) entries: Vec<RawEntry>,
    pub(crate) log: LogIdentity,
}

/// Reports that the log was read to its end.
pub(super) struct CaughtUp;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateOrigin {
    /// Fetched from a peer; the log may be ahead of it.
    Peer,
    /// Read from a snapshot; the log is read next.
    Snapshot,
}

/// Replaces the state by one from a snapshot or a peer, if that is newer.
pub(crate) struct LoadState {
    pub(crate) origin: StateOrigin,
    pub(crate) state: Box<FleetState>,
}

/// Replaces the host list by one that was read here or by a peer, unless that is older.
pub(crate) struct UpdateHosts {
    pub(crate) listing: HostListing,
}

/// Appends a record and sends its outcome once it is read back from the log.
pub(super) struct ProposeRecord {
    pub(super) append_deadline: LocalTime,
    pub(super) record: LedgerRecord,
    pub(super) result: OutcomeSender,
}

/// Reports that the proposer of a record no longer waits for it. If the record is a claim and still gets accepted, it
/// is released.
pub(super) struct AbandonRecord {
    pub(super) id: RecordId,
}

pub(super) type StateReader = Box<dyn FnOnce(&FleetState, &HostListing) + Send>;

/// Runs a closure that reads the fleet state and the host list.
pub(super) struct ReadState {
    pub(super) read: StateReader,
}

/// Log position up to which entries have been applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, kameo::Reply)]
pub(crate) struct AppliedPosition {
    /// Whether the log was read at least once or a state was loaded.
    pub(crate) has_state: bool,
    pub(crate) log: LogIdentity,
    pub(crate) next: LogOffset,
    /// Latest known time of the log service; `None` before the host list was read.
    pub(crate) time: Option<LogTime>,
}

impl AppliedPosition {
    pub(crate) fn log_position(self) -> LogPosition {
        LogPosition {
            log: self.log,
            next: self.next,
        }
    }
}

/// Requests the applied log position.
pub(crate) struct GetPosition;

/// Requests log entries for a peer that lags behind.
pub(crate) struct FetchLedger {
    pub(crate) fetch: FetchEntries,
}

/// Requests the encoded fleet state.
pub(crate) struct EncodeState;

/// Reply to [`FetchLedger`].
#[derive(kameo::Reply)]
pub(crate) struct EntriesResult(pub(crate) EntriesResponse);

/// Reply to [`EncodeState`].
#[derive(kameo::Reply)]
pub(crate) struct EncodedStateReply {
    pub(crate) hosts: HostListing,
    pub(crate) position: LogPosition,
    pub(crate) state: Bytes,
}

/// Requests the host list and the names of the configured pools.
pub(crate) struct ReadHosts;

/// Reply to [`ReadHosts`].
#[derive(kameo::Reply)]
pub(crate) struct FleetHosts {
    pub(crate) hosts: HostListing,
    pub(crate) pools: Vec<PoolName>,
}

/// Requests a duty plan. The poller, which holds the worker statuses, moves to the actor and comes back with the reply.
pub(crate) struct PlanDuties {
    pub(crate) poller: WorkerPoller,
}

/// Reply to [`PlanDuties`].
#[derive(kameo::Reply)]
pub(crate) struct DutyRound {
    pub(crate) plan: DutyPlan,
    pub(crate) poller: WorkerPoller,
}
