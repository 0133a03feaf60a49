use {
    super::{DigestContent, LogPosition, RawDigest, RawNotice, ServiceDemand},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, ServiceName},
    },
    std::sync::Arc,
};

/// A demand that changed by no more than 1/8 of the value last sent waits for the next regular digest.
///
/// Smaller changes hardly affect the division of 8 slots by demand, and under overload every count changes
/// in every interval.
const NOTABLE_CHANGE_DIVISOR: u32 = 8;

/// How urgently a digest has to be sent, given what has changed since the last one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DigestChange {
    /// Nothing changed that cannot wait for the next regular digest.
    Minor,
    /// The demand for a service changed notably.
    Demand,
    /// A leaving notice, a busy host, the draining flag or the identity of the log changed.
    Urgent,
}

/// Encodes digests for one connection as changes to the content sent on it before.
///
/// # Size
/// A frame has 3 bytes of length prefix and 4 bytes of message tags, followed by 1 to 3 bytes for the digest
/// number, up to 6 for a changed log offset, 2 to 4 for each service whose demand changed, and about 16 plus
/// the host name for each changed notice. Service names, the log identity and the sender are sent once per
/// connection. A digest without changes takes 8 or 9 bytes, one with changed demand for 48 services takes
/// 145. The example `digest_bytes` prints these figures.
#[derive(Debug, Default)]
pub struct DigestEncoder {
    next_number: u64,
    service_numbers: SortedMap<ServiceName, u32>,
    /// Last content sent, apart from its demand.
    sent: Arc<DigestContent>,
    /// Last content sent with its demand.
    sent_demand: Arc<DigestContent>,
}

impl DigestEncoder {
    /// Compares `content` with the content last sent on this connection.
    pub fn change(&self, content: &DigestContent) -> DigestChange {
        let log = |position: Option<LogPosition>| position.map(|position| position.log);
        let sent = &self.sent;
        if content.leaving() != sent.leaving()
            || content.busy() != sent.busy()
            || content.draining() != sent.draining()
            || log(content.position()) != log(sent.position())
        {
            return DigestChange::Urgent;
        }
        let mut changes = demand_changes(self.sent_demand.demand(), content.demand());
        if changes.any(|change| change.is_notable()) {
            return DigestChange::Demand;
        }
        DigestChange::Minor
    }

    /// Encodes the changes since the content last sent. Demand is left out unless `include_demand` is set.
    pub fn encode(&mut self, content: Arc<DigestContent>, include_demand: bool) -> RawDigest {
        let mut raw = RawDigest {
            number: self.next_number,
            ..RawDigest::default()
        };
        self.next_number += 1;
        self.encode_position(&content, &mut raw);
        self.encode_notices(&content, &mut raw);
        raw.busy = added_hosts(self.sent.busy(), content.busy());
        raw.idle = added_hosts(content.busy(), self.sent.busy());
        if content.draining() != self.sent.draining() {
            raw.draining = Some(content.draining());
        }
        if include_demand {
            self.encode_demand(&content, &mut raw);
            self.sent_demand = Arc::clone(&content);
        }
        self.sent = content;
        raw
    }

    fn encode_position(&self, content: &DigestContent, raw: &mut RawDigest) {
        let Some(position) = content.position() else {
            return;
        };
        let sent = self.sent.position();
        if sent.map(|sent| sent.log) != Some(position.log) {
            raw.log = Some(position.log.0);
        }
        if sent != Some(position) {
            raw.next = Some(position.next.0);
        }
    }

    fn encode_notices(&self, content: &DigestContent, raw: &mut RawDigest) {
        let sent = self.sent.leaving();
        let leaving = content.leaving();
        let changed = leaving
            .iter()
            .filter(|notice| sent.binary_search(notice).is_err());
        raw.leaving = changed.map(RawNotice::from).collect();
        let is_cleared =
            |host: &HostName| leaving.binary_search_by(|row| row.host.cmp(host)).is_err();
        let cleared = sent.iter().filter(|notice| is_cleared(&notice.host));
        raw.cleared = cleared
            .map(|notice| notice.host.as_str().to_owned())
            .collect();
    }

    fn encode_demand(&mut self, content: &DigestContent, raw: &mut RawDigest) {
        let sent = Arc::clone(&self.sent_demand);
        for change in demand_changes(sent.demand(), content.demand()) {
            let number = self.service_number(change.service, &mut raw.services);
            raw.demand.extend([number, change.current]);
        }
    }

    fn service_number(&mut self, service: &ServiceName, new_services: &mut Vec<String>) -> u32 {
        if let Some(number) = self.service_numbers.get(service) {
            return *number;
        }
        let number = self.service_numbers.len() as u32;
        self.service_numbers.insert(service.clone(), number);
        new_services.push(service.as_str().to_owned());
        number
    }
}

/// Returns the names in `current` that are not in `before`; both are sorted.
fn added_hosts(before: &[HostName], current: &[HostName]) -> Vec<String> {
    let added = current
        .iter()
        .filter(|host| before.binary_search(host).is_err());
    added.map(|host| host.as_str().to_owned()).collect()
}

struct DemandChange<'a> {
    before: u32,
    current: u32,
    service: &'a ServiceName,
}

impl DemandChange<'_> {
    fn is_notable(&self) -> bool {
        let difference = self.current.abs_diff(self.before);
        self.current == 0 || self.before == 0 || difference > self.before / NOTABLE_CHANGE_DIVISOR
    }
}

fn requests_for(rows: &[ServiceDemand], service: &ServiceName) -> u32 {
    let index = rows.binary_search_by(|row| row.service.cmp(service));
    index.map_or(0, |index| rows[index].requests)
}

fn demand_changes<'a>(
    before: &'a [ServiceDemand],
    current: &'a [ServiceDemand],
) -> impl Iterator<Item = DemandChange<'a>> {
    let current_changes = current.iter().map(|row| DemandChange {
        before: requests_for(before, &row.service),
        current: row.requests,
        service: &row.service,
    });
    let removed = before
        .iter()
        .filter(|row| requests_for(current, &row.service) == 0);
    let removed = removed.map(|row| DemandChange {
        before: row.requests,
        current: 0,
        service: &row.service,
    });
    current_changes
        .chain(removed)
        .filter(|change| change.before != change.current)
}
