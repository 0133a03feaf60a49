use {
    crate::wire::{EntriesResponse, FetchEntries, LogPosition},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryName, LocalTime, Millis},
    },
};

/// Entries are fetched from peers when the own offset stood still for this long while a peer is ahead.
///
/// A host that reads the log itself is behind some peer most of the time, and by less than a poll.
pub const STALL_LIMIT: Millis = Millis(1_000);
/// A peer whose answer was of no use is not asked again for this long.
pub const PEER_REST: Millis = Millis(2_000);

/// What to do about entries that are missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatchUpStep {
    /// Nothing is missing, or the log still delivers.
    Wait,
    /// Ask a peer for entries.
    Fetch {
        /// What to ask for.
        fetch: FetchEntries,
        /// The peer to ask.
        peer: EntryName,
    },
    /// Every peer that is ahead has dropped the entries: take a snapshot or the state of a peer.
    TakeState {
        /// The peer that is furthest ahead.
        peer: EntryName,
    },
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    gone: bool,
    until: LocalTime,
}

/// Decides what to fetch from which peer when this host is behind.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    /// The own position, and when the log moved it last.
    moved: Option<(LogPosition, LocalTime)>,
    resting: SortedMap<EntryName, Rest>,
}

impl CatchUp {
    /// Decides from the own position and the positions of the live peers; `random` chooses among the
    /// peers that are ahead.
    pub fn plan(
        &mut self,
        now: LocalTime,
        own: LogPosition,
        peers: &[(EntryName, LogPosition)],
        random: u64,
    ) -> CatchUpStep {
        let since = self.note(now, own);
        let ahead = |position: &LogPosition| position.log == own.log && position.next > own.next;
        let ahead = peers.iter().filter(|(_, position)| ahead(position));
        let ahead: Vec<_> = ahead.collect();
        if ahead.is_empty() || now.since(since) < STALL_LIMIT {
            return CatchUpStep::Wait;
        }
        self.resting.retain(|_, rest| now < rest.until);
        let rested = ahead
            .iter()
            .filter(|(peer, _)| !self.resting.contains(peer));
        let rested: Vec<_> = rested.collect();
        if let Some(count) = u64::try_from(rested.len()).ok().filter(|count| *count > 0) {
            let (peer, _) = rested[(random % count) as usize];
            let fetch = FetchEntries {
                from: own.next,
                log: own.log,
            };
            let peer = peer.clone();
            return CatchUpStep::Fetch { fetch, peer };
        }
        let all_gone = ahead
            .iter()
            .all(|(peer, _)| self.resting.get(peer).is_some_and(|rest| rest.gone));
        let furthest = ahead.iter().max_by_key(|(_, position)| position.next);
        match furthest {
            Some((peer, _)) if all_gone => CatchUpStep::TakeState { peer: peer.clone() },
            _ => CatchUpStep::Wait,
        }
    }

    /// Notes the response of a peer; none when it did not answer.
    pub fn answered(
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
        let until = now + PEER_REST;
        self.resting.insert(peer.clone(), Rest { gone, until });
    }

    /// Notes that entries of a peer moved the own position.
    ///
    /// Only entries read from the log itself start the wait anew, or each batch would cost a stall.
    pub fn fetched(&mut self, position: LogPosition) {
        if let Some((known, _)) = &mut self.moved {
            *known = position;
        }
    }

    /// Notes the own position and returns since when the log has not moved it.
    fn note(&mut self, now: LocalTime, own: LogPosition) -> LocalTime {
        match self.moved {
            Some((position, since)) if position == own => since,
            _ => {
                self.moved = Some((own, now));
                now
            }
        }
    }
}
