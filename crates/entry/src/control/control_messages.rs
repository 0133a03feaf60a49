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

/// Entries read from the log or from a peer, in order.
pub(crate) struct ApplyEntries {
    pub(crate) entries: Vec<RawEntry>,
    pub(crate) log: LogIdentity,
}

/// The log was read to its end at least once.
pub(super) struct CaughtUp;

/// Where a state comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateOrigin {
    /// A peer; the log may be ahead.
    Peer,
    /// A snapshot; the log is read next.
    Snapshot,
}

/// A state that was loaded from a snapshot or taken from a peer.
pub(crate) struct LoadState {
    pub(crate) origin: StateOrigin,
    pub(crate) state: Box<FleetState>,
}

/// The list of hosts was read, here or by a peer.
pub(crate) struct UpdateHosts {
    pub(crate) listing: HostListing,
}

/// A record to append; the sender is told once it was read back from the log.
pub(super) struct ProposeRecord {
    pub(super) give_up: LocalTime,
    pub(super) record: LedgerRecord,
    pub(super) result: OutcomeSender,
}

/// The proposer of a record no longer waits. A claim that is still accepted is released.
pub(super) struct AbandonRecord {
    pub(super) id: RecordId,
}

/// Reads a part of the state and the list of hosts.
pub(super) type StateReader = Box<dyn FnOnce(&FleetState, &HostListing) + Send>;

/// Asks for a part of the state.
pub(super) struct ReadState {
    pub(super) read: StateReader,
}

/// How far the state has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, kameo::Reply)]
pub(crate) struct AppliedPosition {
    /// Whether there is any state.
    pub(crate) known: bool,
    pub(crate) log: LogIdentity,
    pub(crate) next: LogOffset,
    /// The clock of the log service as last seen; none before the list of hosts was read.
    pub(crate) time: Option<LogTime>,
}

impl AppliedPosition {
    pub(crate) fn position(self) -> LogPosition {
        LogPosition {
            log: self.log,
            next: self.next,
        }
    }
}

/// Asks for the position of the fold.
pub(crate) struct GetPosition;

/// A peer that lags asks for entries.
pub(crate) struct FetchLedger {
    pub(crate) fetch: FetchEntries,
}

/// Asks for the encoded state.
pub(crate) struct EncodeState;

/// The response to [`FetchLedger`].
#[derive(kameo::Reply)]
pub(crate) struct EntriesReply(pub(crate) EntriesResponse);

/// The response to [`EncodeState`].
#[derive(kameo::Reply)]
pub(crate) struct EncodedStateReply {
    pub(crate) hosts: HostListing,
    pub(crate) position: LogPosition,
    /// The encoded state.
    pub(crate) state: Bytes,
}

/// Asks for the list of hosts and the configured pools.
pub(crate) struct ReadHosts;

/// The response to [`ReadHosts`].
#[derive(kameo::Reply)]
pub(crate) struct FleetHosts {
    pub(crate) hosts: HostListing,
    pub(crate) pools: Vec<PoolName>,
}

/// Asks for a plan of the duties; lends what is known of the workers.
pub(crate) struct PlanDuties {
    pub(crate) poller: WorkerPoller,
}

/// The response to [`PlanDuties`].
#[derive(kameo::Reply)]
pub(crate) struct DutyRound {
    pub(crate) plan: DutyPlan,
    pub(crate) poller: WorkerPoller,
}
