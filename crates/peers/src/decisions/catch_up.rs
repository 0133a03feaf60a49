use {
    crate::wire::{EntriesResponse, FetchEntries, LogPosition},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryName, LocalTime, Millis},
    },
};

/// Entries are fetched from peers when the local offset has not advanced for this long while a peer is ahead.
///
/// A host that reads the log itself is behind some peer most of the time, but by less than one poll.
pub const STALL_TIMEOUT: Millis = Millis(1_000);
/// A peer whose response was of no use receives no further request for this long.
pub const PEER_COOLDOWN: Millis = Millis(2_000);

/// How to obtain missing entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatchUpStep {
    /// Nothing is missing, the log still delivers entries, or the peers that may have the entries are cooling down.
    Wait,
    /// Request entries from a peer.
    Fetch {
        /// The request.
        fetch: FetchEntries,
        /// The peer that receives the request.
        peer: EntryName,
    },
    /// No peer that is ahead still has the entries: load a snapshot, or fetch the state of this peer.
    FetchState {
        /// The peer that is furthest ahead.
        peer: EntryName,
    },
}

/// Time during which a peer receives no request.
#[derive(Clone, Copy, Debug)]
struct Cooldown {
    /// The peer no longer has the entries.
    gone: bool,
    until: LocalTime,
}

/// Decides which entries to fetch from which peer when this host lags behind.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// The local position, and when reading the log last changed it.
    last_progress: Option<(LogPosition, LocalTime)>,
    cooling_down: SortedMap<EntryName, Cooldown>,
}

impl CatchUp {
    /// Plans the next step from the local position and the positions of the live peers. `random` selects
    /// among the peers that are ahead.
    pub fn plan(
        &mut self,
        now: LocalTime,
        local: LogPosition,
        peers: &[(EntryName, LogPosition)],
        random: u64,
    ) -> CatchUpStep {
        let stalled_since = self.record_position(now, local);
        let is_ahead =
            |position: &LogPosition| position.log == local.log && position.next > local.next;
        let ahead = peers.iter().filter(|(_, position)| is_ahead(position));
        let ahead: Vec<_> = ahead.collect();
        if ahead.is_empty() || now.since(stalled_since) < STALL_TIMEOUT {
            return CatchUpStep::Wait;
        }
        self.cooling_down.retain(|_, cooldown| now < cooldown.until);
        let available = ahead
            .iter()
            .filter(|(peer, _)| !self.cooling_down.contains(peer));
        let available: Vec<_> = available.collect();
        if let Some(count) = u64::try_from(available.len())
            .ok()
            .filter(|count| *count > 0)
        {
            let (peer, _) = available[(random % count) as usize];
            let fetch = FetchEntries {
                from: local.next,
                log: local.log,
            };
            let peer = peer.clone();
            return CatchUpStep::Fetch { fetch, peer };
        }
        let all_gone = ahead
            .iter()
            .all(|(peer, _)| self.cooling_down.get(peer).is_some_and(|row| row.gone));
        let furthest = ahead.iter().max_by_key(|(_, position)| position.next);
        match furthest {
            Some((peer, _)) if all_gone => CatchUpStep::FetchState { peer: peer.clone() },
            _ => CatchUpStep::Wait,
        }
    }

    /// Records the response of a peer, `None` if it did not respond.
    pub fn handle_response(
        &mut self,
        now: LocalTime,
        peer: &EntryName,
        response: Option<&EntriesResponse>,
    ) {
        let gone = match response {
            Some(EntriesResponse::Entries { entries, .. }) if !entries.is_empty() => return,
            Some(EntriesResponse::Gone { .. }) => true,
            _ => false,
        };
        let until = now + PEER_COOLDOWN;
        self.cooling_down
            .insert(peer.clone(), Cooldown { gone, until });
    }

    /// Records that entries fetched from a peer advanced the local position.
    ///
    /// Only entries read from the log itself restart the stall timeout; otherwise it would elapse again
    /// before every batch.
    pub fn handle_fetched(&mut self, position: LogPosition) {
        if let Some((last_position, _)) = &mut self.last_progress {
            *last_position = position;
        }
    }

    /// Records the local position and returns the time since which reading the log has not changed it.
    fn record_position(&mut self, now: LocalTime, local: LogPosition) -> LocalTime {
        match self.last_progress {
            Some((position, since)) if position == local => since,
            _ => {
                self.last_progress = Some((local, now));
                now
            }
        }
    }
}
