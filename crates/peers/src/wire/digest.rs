use {
    super::{RawNotice, WireError},
    goldcreststall_core::{
        ids::{EntryId, HostName, Incarnation, ServiceName},
        ledger::{LogIdentity, LogOffset},
    },
};

/// How far a log has been applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogPosition {
    /// Identity of the log.
    pub log: LogIdentity,
    /// Offset of the first entry that has not been applied.
    pub next: LogOffset,
}

/// Queued and in-flight requests of a service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceDemand {
    /// The service that the requests are for.
    pub service: ServiceName,
    /// Queued plus in-flight requests.
    pub requests: u32,
}

/// Notice that one incarnation of a host is leaving and accepts no new work.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeavingNotice {
    /// The host that is leaving.
    pub host: HostName,
    /// The incarnation that is leaving; a newer one is not affected.
    pub incarnation: Incarnation,
    /// When the observer made the observation, it had applied the ledger entries below this offset.
    ///
    /// A ledger entry at or above this offset that makes the host active again supersedes the notice,
    /// whichever peer forwarded it. Without the basis, a lagging peer could bring back a superseded notice.
    pub basis: LogOffset,
}

impl From<&LeavingNotice> for RawNotice {
    fn from(notice: &LeavingNotice) -> Self {
        Self {
            basis: notice.basis.0,
            host: notice.host.as_str().to_owned(),
            incarnation: notice.incarnation.0,
        }
    }
}

impl TryFrom<RawNotice> for LeavingNotice {
    type Error = WireError;

    fn try_from(raw: RawNotice) -> Result<Self, WireError> {
        Ok(Self {
            basis: LogOffset(raw.basis),
            host: HostName::try_from(raw.host)?,
            incarnation: Incarnation(raw.incarnation),
        })
    }
}

/// State that an entry host reports to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DigestContent {
    busy: Vec<HostName>,
    demand: Vec<ServiceDemand>,
    draining: bool,
    leaving: Vec<LeavingNotice>,
    position: Option<LogPosition>,
}

impl DigestContent {
    /// Builds the content. Services without demand are left out.
    ///
    /// Notices that a log entry supersedes must be removed from `leaving` before `position` reports that
    /// the entry has been applied.
    pub fn new(
        position: Option<LogPosition>,
        mut demand: Vec<ServiceDemand>,
        mut leaving: Vec<LeavingNotice>,
        draining: bool,
    ) -> Self {
        demand.retain(|row| row.requests > 0);
        demand.sort();
        demand.dedup_by(|left, right| left.service == right.service);
        leaving.sort_by(|left, right| right.cmp(left));
        // Sorted in descending order, the newest notice of each host comes first and is kept.
        leaving.dedup_by(|left, right| left.host == right.host);
        leaving.reverse();
        Self {
            busy: Vec::new(),
            demand,
            draining,
            leaving,
            position,
        }
    }

    /// Adds the hosts that accept no new work but still serve requests of the sender.
    #[must_use]
    pub fn with_busy(mut self, mut busy: Vec<HostName>) -> Self {
        busy.sort();
        busy.dedup();
        self.busy = busy;
        self
    }

    /// Returns the hosts that accept no new work but still serve requests of the sender, sorted by name.
    pub fn busy(&self) -> &[HostName] {
        &self.busy
    }

    /// Returns the services with demand, sorted by name.
    pub fn demand(&self) -> &[ServiceDemand] {
        &self.demand
    }

    /// Returns whether the sender performs no control duties because it is shutting down or cannot read the log.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the leaving notices, one per host, sorted by host name.
    pub fn leaving(&self) -> &[LeavingNotice] {
        &self.leaving
    }

    /// Returns how far the log has been applied, `None` before any state is known. An incarnation that
    /// has reported a position always reports one from then on.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }
}

/// A digest as received from a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Digest {
    /// State that the sender reported.
    pub content: DigestContent,
    /// Name and incarnation of the entry host that sent the digest.
    pub from: EntryId,
    /// Increases with every digest that this incarnation sends to this receiver.
    pub sequence: u64,
}
