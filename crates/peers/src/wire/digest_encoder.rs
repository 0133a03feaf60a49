use {
    super::{DigestContent, LogPosition, RawDigest, RawNotice, ServiceDemand},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, ServiceName},
    },
    std::sync::Arc,
};

/// A demand that moved by less than this part of what was told waits for the next regular digest.
///
/// The split of 8 slots by demand hardly moves for less, and in a flood every count changes in every
/// interval.
const NOTABLE_PART: u32 = 8;

/// How much differs from what was told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DigestChange {
    /// Nothing that cannot wait for the next regular digest.
    Minor,
    /// A demand changed notably.
    Demand,
    /// A leaving notice, a busy host, the draining flag or the identity of the log changed.
    Urgent,
}

/// Encodes digests for one connection as changes to what was told on it.
///
/// # Bytes
/// A frame has 3 bytes of length and 4 of message tags. On them come 1 to 3 bytes of number, up to 6 of
/// offset when it moved, 2 to 4 for each service whose demand changed, and about 16 plus the name for
/// each notice that changed. Names of services, the log and the sender cross a connection once. A quiet
/// digest has 8 or 9 bytes, one in which 48 services changed has 145. The example `digest_bytes` prints
/// the figures.
#[derive(Debug, Default)]
pub struct DigestEncoder {
    next_number: u64,
    numbers: SortedMap<ServiceName, u32>,
    /// What was told, except for its demand.
    told: Arc<DigestContent>,
    told_demand: Arc<DigestContent>,
}

impl DigestEncoder {
    /// Compares `content` to what was told on this connection.
    pub fn change(&self, content: &DigestContent) -> DigestChange {
        let log = |position: Option<LogPosition>| position.map(|position| position.log);
        let told = &self.told;
        if content.leaving() != told.leaving()
            || content.busy() != told.busy()
            || content.draining() != told.draining()
            || log(content.position()) != log(told.position())
        {
            return DigestChange::Urgent;
        }
        let mut changes = demand_changes(self.told_demand.demand(), content.demand());
        if changes.any(|change| change.is_notable()) {
            return DigestChange::Demand;
        }
        DigestChange::Minor
    }

    /// Encodes what differs from what was told. The demand is left out unless `with_demand` is set.
    pub fn encode(&mut self, content: Arc<DigestContent>, with_demand: bool) -> RawDigest {
        let mut raw = RawDigest {
            number: self.next_number,
            ..RawDigest::default()
        };
        self.next_number += 1;
        self.put_position(&content, &mut raw);
        self.encode_notices(&content, &mut raw);
        raw.busy = added_hosts(self.told.busy(), content.busy());
        raw.idle = added_hosts(content.busy(), self.told.busy());
        if content.draining() != self.told.draining() {
            raw.draining = Some(content.draining());
        }
        if with_demand {
            self.put_demand(&content, &mut raw);
            self.told_demand = Arc::clone(&content);
        }
        self.told = content;
        raw
    }

    fn put_position(&self, content: &DigestContent, raw: &mut RawDigest) {
        let Some(position) = content.position() else {
            return;
        };
        let told = self.told.position();
        if told.map(|told| told.log) != Some(position.log) {
            raw.log = Some(position.log.0);
        }
        if told != Some(position) {
            raw.next = Some(position.next.0);
        }
    }

    fn encode_notices(&self, content: &DigestContent, raw: &mut RawDigest) {
        let told = self.told.leaving();
        let leaving = content.leaving();
        let fresh = leaving
            .iter()
            .filter(|notice| told.binary_search(notice).is_err());
        raw.leaving = fresh.map(RawNotice::from).collect();
        let is_gone = |host: &HostName| leaving.binary_search_by(|row| row.host.cmp(host)).is_err();
        let gone = told.iter().filter(|notice| is_gone(&notice.host));
        raw.cleared = gone.map(|notice| notice.host.as_str().to_owned()).collect();
    }

    fn put_demand(&mut self, content: &DigestContent, raw: &mut RawDigest) {
        let told = Arc::clone(&self.told_demand);
        for change in demand_changes(told.demand(), content.demand()) {
            let number = self.number(change.service, &mut raw.services);
            raw.demand.extend([number, change.now]);
        }
    }

    fn number(&mut self, service: &ServiceName, names: &mut Vec<String>) -> u32 {
        if let Some(number) = self.numbers.get(service) {
            return *number;
        }
        let number = self.numbers.len() as u32;
        self.numbers.insert(service.clone(), number);
        names.push(service.as_str().to_owned());
        number
    }
}

/// Returns the names in `now` that are not in `before`; both are sorted.
fn added_hosts(before: &[HostName], now: &[HostName]) -> Vec<String> {
    let added = now
        .iter()
        .filter(|host| before.binary_search(host).is_err());
    added.map(|host| host.as_str().to_owned()).collect()
}

struct DemandChange<'a> {
    before: u32,
    now: u32,
    service: &'a ServiceName,
}

impl DemandChange<'_> {
    fn is_notable(&self) -> bool {
        let difference = self.now.abs_diff(self.before);
        self.now == 0 || self.before == 0 || difference > self.before / NOTABLE_PART
    }
}

fn requests(rows: &[ServiceDemand], service: &ServiceName) -> u32 {
    let index = rows.binary_search_by(|row| row.service.cmp(service));
    index.map_or(0, |index| rows[index].requests)
}

fn demand_changes<'a>(
    before: &'a [ServiceDemand],
    now: &'a [ServiceDemand],
) -> impl Iterator<Item = DemandChange<'a>> {
    let kept = now.iter().map(|row| DemandChange {
        before: requests(before, &row.service),
        now: row.requests,
        service: &row.service,
    });
    let gone = before.iter().filter(|row| requests(now, &row.service) == 0);
    let gone = gone.map(|row| DemandChange {
        before: row.requests,
        now: 0,
        service: &row.service,
    });
    kept.chain(gone)
        .filter(|change| change.before != change.now)
}
