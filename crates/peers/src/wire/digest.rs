use {
    super::{RawNotice, WireError},
    goldcreststall_core::{
        ids::{EntryId, HostName, Incarnation, ServiceName},
        ledger::{LogIdentity, LogOffset},
    },
};

/// How far a log was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogPosition {
    /// Identity of the log.
    pub log: LogIdentity,
    /// Offset of the first entry that is not applied.
    pub next: LogOffset,
}

/// Queued and in-flight requests of a service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of requests.
    pub requests: u32,
}

/// Says that one run of a host is leaving and takes no new work.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeavingNotice {
    /// Name of the host.
    pub host: HostName,
    /// The run of the host.
    pub incarnation: Incarnation,
    /// The observer had applied the ledger entries below this offset when it made the observation.
    ///
    /// A ledger entry at or above it that makes the host active again overrules the notice, whoever
    /// passed the notice on. Without it, a peer that lags could bring back an overruled notice.
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

/// What an entry host tells its peers.
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
    /// Notices that an applied entry overrules must be gone from `leaving` before `position` says that
    /// the entry is applied.
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
        // The newest notice of a host comes first here and is the one that is kept.
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

    /// Adds the hosts that take no new work and on which the sender has requests in flight.
    #[must_use]
    pub fn with_busy(mut self, mut busy: Vec<HostName>) -> Self {
        busy.sort();
        busy.dedup();
        self.busy = busy;
        self
    }

    /// Returns the hosts that take no new work and are busy with requests of the sender, sorted by name.
    pub fn busy(&self) -> &[HostName] {
        &self.busy
    }

    /// Returns the services with demand, sorted by name.
    pub fn demand(&self) -> &[ServiceDemand] {
        &self.demand
    }

    /// Tells whether the sender performs no control duties: it shuts down or cannot read the log.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns the leaving notices, one a host, sorted by name.
    pub fn leaving(&self) -> &[LeavingNotice] {
        &self.leaving
    }

    /// Returns how far the log is applied; none before any state is known. A run that knew one once
    /// always has one.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }
}

/// A digest as a peer received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Digest {
    /// What the sender told.
    pub content: DigestContent,
    /// The run of the entry host that sent the digest.
    pub from: EntryId,
    /// Grows with every digest that this run sends to this receiver.
    pub sequence: u64,
}
