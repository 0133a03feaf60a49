use {
    crate::wire::LogPosition,
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryName, LocalTime, Millis},
        ledger::LogIdentity,
    },
};

/// How long a starting host waits for the offers of all its peers before it chooses among those it has.
pub const OFFER_TIMEOUT: Millis = Millis(2_000);

/// What a peer offers to a starting host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerOffer {
    /// The peer has no state.
    Nothing,
    /// The peer has a state.
    State(LogPosition),
}

/// What a starting host does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartupStep {
    /// A state is known; relayed entries or the log bring it up to date.
    Settled,
    /// Wait for offers or for the log.
    Wait,
    /// Peers follow different logs and nothing tells which one is right: wait for the log service.
    Conflict,
    /// Ask this peer for its state.
    Fetch {
        /// The peer.
        peer: EntryName,
        /// What it offered.
        position: LogPosition,
    },
}

/// Why a state is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StateRefusal {
    /// The state ends before the offset that its peer offered.
    #[error("the state ends before the offset that the peer offered")]
    LessThanOffered,
    /// The state ends at or before the own one.
    #[error("the state is not newer than the own state")]
    NotNewer,
    /// The state follows another log.
    #[error("the state follows another log")]
    OtherLog,
    /// It is not known which of several logs is right.
    #[error("peers follow different logs")]
    UnknownLog,
}

/// What a host can serve with the state it has.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Readiness {
    /// No state: every request is refused as not run.
    NotReady,
    /// The state of a peer: neither claims nor control duties.
    PeerState,
    /// The log was read to its end.
    LogState,
}

impl Readiness {
    /// Tells whether idempotent requests and those with keys issued by this run are served.
    pub fn serves_traffic(self) -> bool {
        self >= Self::PeerState
    }

    /// Tells whether claims and control duties are possible.
    pub fn uses_log(self) -> bool {
        self == Self::LogState
    }
}

/// Chooses whose state a host takes while it cannot read the log.
///
/// A state is never replaced by one of a lower offset or of another log.
#[derive(Clone, Debug)]
pub struct StartupSource {
    /// The log that the log service itself named, or that of the own state.
    log: Option<LogIdentity>,
    offers: SortedMap<EntryName, PeerOffer>,
    own: Option<LogPosition>,
    peers: usize,
    reads_log: bool,
    started: LocalTime,
}

impl StartupSource {
    /// Starts with nothing known; `peers` is the number of peers in the settings.
    pub fn new(now: LocalTime, peers: usize) -> Self {
        Self {
            log: None,
            offers: SortedMap::default(),
            own: None,
            peers,
            reads_log: false,
            started: now,
        }
    }

    /// Notes what a peer offers. A later offer of the same peer replaces the earlier one.
    pub fn offer(&mut self, peer: EntryName, offer: PeerOffer) {
        self.offers.insert(peer, offer);
    }

    /// Drops the offer of a peer that fell silent or whose transfer failed. A later offer is taken again.
    pub fn withdraw(&mut self, peer: &EntryName) {
        self.offers.remove(peer);
    }

    /// Notes the identity that the log service itself gives.
    ///
    /// # Errors
    /// `StateRefusal::OtherLog` when the own state or an earlier answer names another log. The own state
    /// stays in force, because a wrong log service must not revert a configuration.
    pub fn log_is(&mut self, log: LogIdentity) -> Result<(), StateRefusal> {
        if self.log.is_some_and(|known| known != log) {
            self.reads_log = false;
            return Err(StateRefusal::OtherLog);
        }
        self.log = Some(log);
        Ok(())
    }

    /// Returns whose state to ask for.
    pub fn next_step(&self, now: LocalTime) -> StartupStep {
        if self.own.is_some() {
            return StartupStep::Settled;
        }
        let patient = now.since(self.started) < OFFER_TIMEOUT;
        if patient && self.offers.len() < self.peers {
            return StartupStep::Wait;
        }
        let log = match self.agreed_log() {
            Ok(Some(log)) => log,
            Ok(None) => return StartupStep::Wait,
            Err(_) => return StartupStep::Conflict,
        };
        let states = self.states().filter(|(_, position)| position.log == log);
        let best = states.max_by_key(|(_, position)| position.next);
        match best {
            Some((peer, position)) => {
                let peer = peer.clone();
                StartupStep::Fetch { peer, position }
            }
            None => StartupStep::Wait,
        }
    }

    /// Decides whether a state that arrived from `peer` is taken, and notes it.
    ///
    /// # Errors
    /// `StateRefusal` when the state must not be taken. The offer of the peer is then dropped.
    pub fn take(&mut self, peer: &EntryName, position: LogPosition) -> Result<(), StateRefusal> {
        let result = self.check(peer, position);
        match result {
            Ok(()) => self.set_own(position),
            Err(_) => self.withdraw(peer),
        }
        result
    }

    fn check(&self, peer: &EntryName, position: LogPosition) -> Result<(), StateRefusal> {
        if let Some(log) = self.agreed_log()?
            && log != position.log
        {
            return Err(StateRefusal::OtherLog);
        }
        if !self.is_newer(position) {
            return Err(StateRefusal::NotNewer);
        }
        match self.offers.get(peer) {
            Some(PeerOffer::State(offered)) if offered.next > position.next => {
                Err(StateRefusal::LessThanOffered)
            }
            _ => Ok(()),
        }
    }

    fn set_own(&mut self, position: LogPosition) {
        self.own = Some(position);
        self.log = Some(position.log);
    }

    /// Notes that the own state moved on by reading the log or entries of peers.
    ///
    /// # Errors
    /// `StateRefusal` when the position lies before the own one or in another log.
    pub fn advance(&mut self, position: LogPosition) -> Result<(), StateRefusal> {
        if self.own == Some(position) {
            return Ok(());
        }
        if self.log.is_some_and(|log| log != position.log) {
            return Err(StateRefusal::OtherLog);
        }
        if !self.is_newer(position) {
            return Err(StateRefusal::NotNewer);
        }
        self.set_own(position);
        Ok(())
    }

    /// Notes whether the own state is at the end of the log. It needs a state.
    pub fn set_reads_log(&mut self, reads_log: bool) {
        self.reads_log = reads_log && self.own.is_some();
    }

    /// Returns how far the own state goes.
    pub fn own(&self) -> Option<LogPosition> {
        self.own
    }

    /// Returns what this host can serve.
    pub fn readiness(&self) -> Readiness {
        match self.own {
            None => Readiness::NotReady,
            Some(_) if self.reads_log => Readiness::LogState,
            Some(_) => Readiness::PeerState,
        }
    }

    /// Returns the log to follow. Without a known one, all peers have to agree.
    fn agreed_log(&self) -> Result<Option<LogIdentity>, StateRefusal> {
        if self.log.is_some() {
            return Ok(self.log);
        }
        let mut logs = self.states().map(|(_, position)| position.log);
        let first = logs.next();
        if logs.any(|log| Some(log) != first) {
            return Err(StateRefusal::UnknownLog);
        }
        Ok(first)
    }

    fn is_newer(&self, position: LogPosition) -> bool {
        self.own
            .is_none_or(|own| position.log == own.log && position.next > own.next)
    }

    fn states(&self) -> impl Iterator<Item = (&EntryName, LogPosition)> {
        self.offers.iter().filter_map(|(peer, offer)| match offer {
            PeerOffer::Nothing => None,
            PeerOffer::State(position) => Some((peer, *position)),
        })
    }
}
