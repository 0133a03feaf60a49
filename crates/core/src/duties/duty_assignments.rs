use {
    super::Duty,
    crate::{
        collections::SortedMap,
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Silence after which a peer holds no duty.
pub const PEER_SILENCE_TIMEOUT: Millis = Millis(2 * 1000);
/// Time without a successful read of the log after which this entry host performs no duty. The tail of
/// the log is read by long polls, which return within this time even when nothing was appended.
pub const LOG_SILENCE_TIMEOUT: Millis = Millis(2 * 1000);

/// What was heard of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerRow {
    /// Whether the peer reads the log and is not shutting down.
    eligible: bool,
    last_contact: LocalTime,
    incarnation: Incarnation,
}

/// Chooses the holder of each duty among the entry hosts heard from lately.
///
/// Entry hosts that hear different peers may choose different holders for a while. Two holders do no
/// harm, because every record names the version that its author saw.
#[derive(Debug)]
pub struct DutyAssignments {
    own: EntryId,
    own_draining: bool,
    peers: SortedMap<EntryName, PeerRow>,
    log_read: Option<LocalTime>,
}

impl DutyAssignments {
    /// Creates the assignments of an entry host that has not read the log and has heard nobody.
    pub fn new(own: EntryId) -> Self {
        Self {
            own,
            own_draining: false,
            peers: SortedMap::default(),
            log_read: None,
        }
    }

    /// Notes a sign of life of a peer. `eligible` tells whether the peer reads the log and is not
    /// shutting down. Signs of an older run of the peer are ignored.
    pub fn record_contact(&mut self, now: LocalTime, peer: &EntryId, eligible: bool) {
        let known = self.peers.get(&peer.name);
        let stale = known.is_some_and(|row| row.incarnation > peer.incarnation);
        if peer.name == self.own.name || stale {
            return;
        }
        let row = PeerRow {
            eligible,
            last_contact: now,
            incarnation: peer.incarnation,
        };
        self.peers.insert(peer.name.clone(), row);
    }

    /// Notes that a read from the log has reached its end: this entry host knows every entry that was
    /// in the log when the read was sent at `sent`.
    pub fn log_read(&mut self, sent: LocalTime) {
        self.log_read = self.log_read.max(Some(sent));
    }

    /// Notes that this entry host is shutting down and performs no duty any more.
    pub fn drain(&mut self) {
        self.own_draining = true;
    }

    /// Tells whether this entry host may perform duties at all.
    pub fn is_eligible(&self, now: LocalTime) -> bool {
        let reads = self
            .log_read
            .is_some_and(|read| now.since(read) < LOG_SILENCE_TIMEOUT);
        reads && !self.own_draining
    }

    /// Returns the entry host that is to perform `duty`; none when nobody can.
    pub fn holder(&self, now: LocalTime, duty: &Duty) -> Option<&EntryName> {
        let seed = xxh3_64_with_seed(duty.to_string().as_bytes(), 0);
        let peers = self.peers.iter();
        let peers = peers
            .filter(|(_, row)| row.eligible && now.since(row.last_contact) < PEER_SILENCE_TIMEOUT);
        let own = self.is_eligible(now).then_some(&self.own.name);
        let names = peers.map(|(name, _)| name).chain(own);
        names.max_by_key(|name| (xxh3_64_with_seed(name.as_str().as_bytes(), seed), *name))
    }

    /// Tells whether this entry host is to perform `duty` now.
    pub fn holds(&self, now: LocalTime, duty: &Duty) -> bool {
        self.holder(now, duty) == Some(&self.own.name)
    }

    /// Drops peers that have been silent for long, so that replaced entry hosts do not pile up.
    pub fn forget_silent(&mut self, now: LocalTime, silence: Millis) {
        self.peers
            .retain(|_, row| now.since(row.last_contact) < silence.max(PEER_SILENCE_TIMEOUT));
    }
}
