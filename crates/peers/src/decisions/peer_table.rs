use {
    crate::wire::{Digest, LogPosition, ServiceDemand},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryId, EntryName, Incarnation, LocalTime, Millis, ServiceName},
    },
};

/// A peer that said nothing for this long is no longer counted.
pub const SILENCE_TIMEOUT: Millis = Millis(2_000);

/// What became of a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// The first digest of a run of the peer.
    NewRun,
    /// Newer than what was known of this run.
    Newer,
    /// Late or repeated; it changed nothing.
    Stale,
}

/// Demand of one live peer for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerDemand {
    /// The peer.
    pub entry: EntryName,
    /// Its queued and in-flight requests.
    pub requests: u32,
}

#[derive(Clone, Debug)]
struct PeerRow {
    digest: Digest,
    last_contact: LocalTime,
}

impl PeerRow {
    fn order(&self) -> (Incarnation, u64) {
        (self.digest.from.incarnation, self.digest.sequence)
    }

    fn is_live(&self, now: LocalTime) -> bool {
        now.since(self.last_contact) < SILENCE_TIMEOUT
    }
}

/// What each peer said last.
///
/// Digests are ordered by incarnation and sequence number, so that a late one never replaces a newer
/// one. A stale digest does not make a silent peer live either.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    rows: SortedMap<EntryName, PeerRow>,
}

impl PeerTable {
    /// Takes a digest that arrived at `now`.
    pub fn receive(&mut self, now: LocalTime, digest: Digest) -> Receipt {
        let name = digest.from.name.clone();
        let row = PeerRow {
            digest,
            last_contact: now,
        };
        let receipt = match self.rows.get(&name) {
            Some(known) if row.order() <= known.order() => return Receipt::Stale,
            Some(known) if row.order().0 == known.order().0 => Receipt::Newer,
            _ => Receipt::NewRun,
        };
        self.rows.insert(name, row);
        receipt
    }

    /// Returns the peers heard from within the silence limit, sorted by name.
    pub fn live(&self, now: LocalTime) -> impl Iterator<Item = &EntryId> {
        self.live_digests(now).map(|digest| &digest.from)
    }

    /// Tells whether a peer was heard from within the silence limit.
    pub fn is_live(&self, now: LocalTime, name: &EntryName) -> bool {
        self.rows.get(name).is_some_and(|row| row.is_live(now))
    }

    /// Tells whether a live peer is shutting down. A silent peer is not counted in any case.
    pub fn is_draining(&self, now: LocalTime, name: &EntryName) -> bool {
        let row = self.rows.get(name).filter(|row| row.is_live(now));
        row.is_some_and(|row| row.digest.content.draining())
    }

    /// Returns how far each live peer follows its log, sorted by name.
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

    /// Returns the live peers with demand for each service that has any.
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

    /// Returns the latest digests of the live peers.
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
