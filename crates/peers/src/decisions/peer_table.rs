use {
    crate::wire::{Digest, LogPosition, ServiceDemand},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, ServiceName},
    },
};

/// A peer without a new digest for this long is no longer counted as live.
pub const SILENCE_TIMEOUT: Millis = Millis(2_000);

/// Outcome of receiving a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiveResult {
    /// The first digest of an incarnation of the peer.
    NewIncarnation,
    /// Newer than the last digest of the same incarnation.
    Newer,
    /// Late or repeated; nothing changed.
    Stale,
}

/// Demand of one live peer for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerDemand {
    /// Name of the peer.
    pub entry: EntryName,
    /// Queued plus in-flight requests of the peer.
    pub requests: u32,
}

#[derive(Clone, Debug)]
struct PeerRow {
    digest: Digest,
    last_contact: LocalTime,
}

impl PeerRow {
    fn recency(&self) -> (Incarnation, u64) {
        (self.digest.from.incarnation, self.digest.sequence)
    }

    fn is_live(&self, now: LocalTime) -> bool {
        now.since(self.last_contact) < SILENCE_TIMEOUT
    }
}

/// Latest digest of each peer.
///
/// Digests are ordered by incarnation and sequence number, so that a late one never replaces a newer one.
/// A stale digest does not make a silent peer live again.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    rows: SortedMap<EntryName, PeerRow>,
}

impl PeerTable {
    /// Records a digest that arrived at `now`.
    pub fn receive(&mut self, now: LocalTime, digest: Digest) -> ReceiveResult {
        let name = digest.from.name.clone();
        let row = PeerRow {
            digest,
            last_contact: now,
        };
        let result = match self.rows.get(&name) {
            Some(known) if row.recency() <= known.recency() => return ReceiveResult::Stale,
            Some(known) if row.recency().0 == known.recency().0 => ReceiveResult::Newer,
            _ => ReceiveResult::NewIncarnation,
        };
        self.rows.insert(name, row);
        result
    }

    /// Returns the peers with a new digest within `SILENCE_TIMEOUT`, sorted by name.
    pub fn live(&self, now: LocalTime) -> impl Iterator<Item = &EntryId> {
        self.live_digests(now).map(|digest| &digest.from)
    }

    /// Returns whether a peer sent a new digest within `SILENCE_TIMEOUT`.
    pub fn is_live(&self, now: LocalTime, name: &EntryName) -> bool {
        self.rows.get(name).is_some_and(|row| row.is_live(now))
    }

    /// Returns the time since the last new digest of a peer; `None` before the first one.
    pub fn silence(&self, now: LocalTime, name: &EntryName) -> Option<Millis> {
        let row = self.rows.get(name)?;
        Some(now.since(row.last_contact))
    }

    /// Returns whether a live peer performs no control duties because it is shutting down or cannot read the log.
    /// False for a silent peer, which is not counted in any case.
    pub fn is_draining(&self, now: LocalTime, name: &EntryName) -> bool {
        let row = self.rows.get(name).filter(|row| row.is_live(now));
        row.is_some_and(|row| row.digest.content.draining())
    }

    /// Returns the log position of each live peer that has one, sorted by name.
    pub fn positions(&self, now: LocalTime) -> Vec<(EntryName, LogPosition)> {
        let digests = self.live_digests(now);
        let positions = digests.filter_map(|digest| {
            let position = digest.content.position()?;
            Some((digest.from.name.clone(), position))
        });
        positions.collect()
    }

    /// Returns the live peers with demand for `service`, sorted by name.
    pub fn demand(&self, now: LocalTime, service: &ServiceName) -> Vec<PeerDemand> {
        let digests = self.live_digests(now);
        let rows = digests.filter_map(|digest| {
            let demand = digest.content.demand();
            let index = demand
                .binary_search_by(|row| row.service.cmp(service))
                .ok()?;
            Some(peer_demand(digest, &demand[index]))
        });
        rows.collect()
    }

    /// Returns the live peers with demand, by service.
    pub fn demand_by_service(&self, now: LocalTime) -> SortedMap<ServiceName, Vec<PeerDemand>> {
        let mut services = SortedMap::default();
        for digest in self.live_digests(now) {
            for row in digest.content.demand() {
                let demand = peer_demand(digest, row);
                match services.get_mut(&row.service) {
                    None => {
                        services.insert(row.service.clone(), vec![demand]);
                    }
                    Some(peers) => Vec::push(peers, demand),
                }
            }
        }
        services
    }

    /// Returns the latest digests of the live peers, sorted by name.
    pub fn live_digests(&self, now: LocalTime) -> impl Iterator<Item = &Digest> {
        let rows = self.rows.values().filter(move |row| row.is_live(now));
        rows.map(|row| &row.digest)
    }
}

fn peer_demand(digest: &Digest, row: &ServiceDemand) -> PeerDemand {
    PeerDemand {
        entry: digest.from.name.clone(),
        requests: row.requests,
    }
}
