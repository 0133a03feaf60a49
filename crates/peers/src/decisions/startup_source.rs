use {
    crate::wire::LogPosition,
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryName, LocalTime, Millis},
        ledger::LogIdentity,
    },
};

/// How long a starting host waits for offers from all its peers before it chooses among those it has.
pub const OFFER_TIMEOUT: Millis = Millis(2_000);

/// State that a peer offers to a starting host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerOffer {
    /// The peer has no state.
    Nothing,
    /// The peer has a state with this log position.
    State(LogPosition),
}

/// Next step of a starting host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartupStep {
    /// A state is present; relayed entries or the log bring it up to date.
    Complete,
    /// Wait for offers or for the log service.
    Wait,
    /// Peers follow different logs and the right one is not known: wait for the log service.
    Conflict,
    /// Fetch the state of a peer.
    Fetch {
        /// The peer with the most recent state.
        peer: EntryName,
        /// Log position that the peer offered.
        position: LogPosition,
    },
}

/// Why a state is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StateError {
    /// The state does not reach the offset that its peer offered.
    #[error("the state does not reach the offset that the peer offered")]
    LessThanOffered,
    /// The state does not go beyond the local one.
    #[error("the state is not newer than the local state")]
    NotNewer,
    /// The state belongs to another log.
    #[error("the state belongs to another log")]
    OtherLog,
    /// Peers follow different logs, and the right one is not known.
    #[error("peers follow different logs, and the right one is not known")]
    UnknownLog,
}

/// What a host can do with the state it has.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Readiness {
    /// No state: every request is rejected as not run.
    NotReady,
    /// The state of a peer: neither claims nor control duties are possible.
    PeerState,
    /// The log has been read to its end.
    LogState,
}

impl Readiness {
    /// Returns whether idempotent requests and those with keys issued by this incarnation are served.
    pub fn can_serve_traffic(self) -> bool {
        self >= Self::PeerState
    }

    /// Returns whether claims and control duties are possible.
    pub fn can_use_log(self) -> bool {
        self == Self::LogState
    }
}

/// Chooses the peer whose state a host loads while it cannot read the log.
///
/// A state is never replaced by one with a lower offset or from another log.
#[derive(Clone, Debug)]
pub struct StartupSource {
    /// The log named by the log service itself, or the log of the local state.
    log: Option<LogIdentity>,
    offers: SortedMap<EntryName, PeerOffer>,
    /// Log position of the local state.
    local_position: Option<LogPosition>,
    peers: usize,
    reads_log: bool,
    started: LocalTime,
}

impl StartupSource {
    /// Creates a source without offers; `peers` is the number of peers in the settings.
    pub fn new(now: LocalTime, peers: usize) -> Self {
        Self {
            log: None,
            offers: SortedMap::default(),
            local_position: None,
            peers,
            reads_log: false,
            started: now,
        }
    }

    /// Records the offer of a peer. A later offer of the same peer replaces the earlier one.
    pub fn offer(&mut self, peer: EntryName, offer: PeerOffer) {
        self.offers.insert(peer, offer);
    }

    /// Removes the offer of a peer that fell silent or whose transfer failed. A later offer counts again.
    pub fn withdraw(&mut self, peer: &EntryName) {
        self.offers.remove(peer);
    }

    /// Records the log identity that the log service itself reports.
    ///
    /// # Errors
    /// `StateError::OtherLog` when the local state or an earlier response names another log. The local state
    /// stays in force, because a wrong log service must not revert a configuration.
    pub fn record_log_identity(&mut self, log: LogIdentity) -> Result<(), StateError> {
        if self.log.is_some_and(|known| known != log) {
            self.reads_log = false;
            return Err(StateError::OtherLog);
        }
        self.log = Some(log);
        Ok(())
    }

    /// Returns the next step, with the peer whose state to fetch.
    pub fn next_step(&self, now: LocalTime) -> StartupStep {
        if self.local_position.is_some() {
            return StartupStep::Complete;
        }
        let can_wait = now.since(self.started) < OFFER_TIMEOUT;
        if can_wait && self.offers.len() < self.peers {
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

    /// Checks a state received from `peer` and records its position if it is accepted.
    ///
    /// # Errors
    /// `StateError` when the state must not be loaded. The offer of the peer is then removed.
    pub fn accept_state(
        &mut self,
        peer: &EntryName,
        position: LogPosition,
    ) -> Result<(), StateError> {
        let result = self.check(peer, position);
        match result {
            Ok(()) => self.set_local_position(position),
            Err(_) => self.withdraw(peer),
        }
        result
    }

    fn check(&self, peer: &EntryName, position: LogPosition) -> Result<(), StateError> {
        if let Some(log) = self.agreed_log()?
            && log != position.log
        {
            return Err(StateError::OtherLog);
        }
        if !self.is_newer(position) {
            return Err(StateError::NotNewer);
        }
        match self.offers.get(peer) {
            Some(PeerOffer::State(offered)) if offered.next > position.next => {
                Err(StateError::LessThanOffered)
            }
            _ => Ok(()),
        }
    }

    fn set_local_position(&mut self, position: LogPosition) {
        self.local_position = Some(position);
        self.log = Some(position.log);
    }

    /// Records that the local state advanced by reading the log or entries of peers.
    ///
    /// # Errors
    /// `StateError` when the position lies before the local one or in another log.
    pub fn advance(&mut self, position: LogPosition) -> Result<(), StateError> {
        if self.local_position == Some(position) {
            return Ok(());
        }
        if self.log.is_some_and(|log| log != position.log) {
            return Err(StateError::OtherLog);
        }
        if !self.is_newer(position) {
            return Err(StateError::NotNewer);
        }
        self.set_local_position(position);
        Ok(())
    }

    /// Records whether the local state is at the end of the log; ignored without a state.
    pub fn set_reads_log(&mut self, reads_log: bool) {
        self.reads_log = reads_log && self.local_position.is_some();
    }

    /// Returns the log position of the local state, `None` without a state.
    pub fn local_position(&self) -> Option<LogPosition> {
        self.local_position
    }

    /// Returns what this host can do with its state.
    pub fn readiness(&self) -> Readiness {
        match self.local_position {
            None => Readiness::NotReady,
            Some(_) if self.reads_log => Readiness::LogState,
            Some(_) => Readiness::PeerState,
        }
    }

    /// Returns the log to follow. If it is not known yet, all offers have to agree on one.
    fn agreed_log(&self) -> Result<Option<LogIdentity>, StateError> {
        if self.log.is_some() {
            return Ok(self.log);
        }
        let mut logs = self.states().map(|(_, position)| position.log);
        let first = logs.next();
        if logs.any(|log| Some(log) != first) {
            return Err(StateError::UnknownLog);
        }
        Ok(first)
    }

    fn is_newer(&self, position: LogPosition) -> bool {
        self.local_position
            .is_none_or(|local| position.log == local.log && position.next > local.next)
    }

    fn states(&self) -> impl Iterator<Item = (&EntryName, LogPosition)> {
        self.offers.iter().filter_map(|(peer, offer)| match offer {
            PeerOffer::Nothing => None,
            PeerOffer::State(position) => Some((peer, *position)),
        })
    }
}
