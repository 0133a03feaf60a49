use {
    super::Duty,
    crate::{
        collections::SortedMap,
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time without contact after which a peer holds no duty.
pub const PEER_SILENCE_TIMEOUT: Millis = Millis(2 * 1000);
/// Time without a successful read of the log after which this entry host performs no duty. The log is
/// read by long polls, which return within this time even when nothing was appended.
pub const LOG_SILENCE_TIMEOUT: Millis = Millis(2 * 1000);

/// The latest contact with a peer.
#[derive(Clone, Copy, Debug)]
struct PeerRow {
    /// Whether the peer reads the log and is not shutting down.
    eligible: bool,
    last_contact: LocalTime,
    incarnation: Incarnation,
}

/// Chooses the holder of each duty among the entry hosts with recent contact.
///
/// Entry hosts that have contact with different peers may choose different holders for a while. Two holders do no
/// harm, because every record names the version that its author saw.
#[derive(Debug)]
pub struct DutyAssignments {
    local: EntryId,
    local_draining: bool,
    peers: SortedMap<EntryName, PeerRow>,
    last_log_read: Option<LocalTime>,
}

impl DutyAssignments {
    /// Creates the assignments of an entry host that has neither read the log nor had contact with a peer.
    pub fn new(local: EntryId) -> Self {
        Self {
            local,
            local_draining: false,
            peers: SortedMap::default(),
            last_log_read: None,
        }
    }

    /// Records contact with a peer. `eligible` tells whether the peer reads the log and is not shutting down. Contact
    /// with an older incarnation of the peer is ignored.
    pub fn record_contact(&mut self, now: LocalTime, peer: &EntryId, eligible: bool) {
        let known = self.peers.get(&peer.name);
        let stale = known.is_some_and(|row| row.incarnation > peer.incarnation);
        if peer.name == self.local.name || stale {
            return;
        }
        let row = PeerRow {
            eligible,
            last_contact: now,
            incarnation: peer.incarnation,
        };
        self.peers.insert(peer.name.clone(), row);
    }

    /// Records that a read has reached the end of the log: this entry host knows every log entry that existed when
    /// the read was sent at `sent`.
    pub fn record_log_read(&mut self, sent: LocalTime) {
        self.last_log_read = self.last_log_read.max(Some(sent));
    }

    /// Records that this entry host is shutting down and performs no duty any more.
    pub fn drain(&mut self) {
        self.local_draining = true;
    }

    /// Returns whether this entry host may perform duties at all.
    pub fn is_eligible(&self, now: LocalTime) -> bool {
        let reads_log = self
            .last_log_read
            .is_some_and(|read| now.since(read) < LOG_SILENCE_TIMEOUT);
        reads_log && !self.local_draining
    }

    /// Returns the entry host that should perform `duty`, chosen by rendezvous hashing; `None` when no entry host can.
    pub fn holder(&self, now: LocalTime, duty: &Duty) -> Option<&EntryName> {
        let seed = xxh3_64_with_seed(duty.to_string().as_bytes(), 0);
        let peers = self.peers.iter();
        let peers = peers
            .filter(|(_, row)| row.eligible && now.since(row.last_contact) < PEER_SILENCE_TIMEOUT);
        let local = self.is_eligible(now).then_some(&self.local.name);
        let names = peers.map(|(name, _)| name).chain(local);
        names.max_by_key(|name| (xxh3_64_with_seed(name.as_str().as_bytes(), seed), *name))
    }

    /// Returns whether this entry host should perform `duty` now.
    pub fn holds(&self, now: LocalTime, duty: &Duty) -> bool {
        self.holder(now, duty) == Some(&self.local.name)
    }

    /// Removes peers without contact for `silence`, but at least for [`PEER_SILENCE_TIMEOUT`], so that replaced entry
    /// hosts do not accumulate.
    pub fn forget_silent(&mut self, now: LocalTime, silence: Millis) {
        self.peers
            .retain(|_, row| now.since(row.last_contact) < silence.max(PEER_SILENCE_TIMEOUT));
    }
}
