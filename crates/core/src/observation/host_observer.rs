use crate::{
    collections::SortedMap,
    ids::{HostName, Incarnation, LocalTime, LogTime, Millis},
    membership::{HostActivity, HostState, HostVersion, MembershipLedger, MembershipRecord},
};

/// How long a host must be missing from the list before it counts as down. It spans three reads of the
/// list, so that one bad answer takes no host out of its pool.
pub const MISSING_LIMIT: Millis = Millis(3_000);
/// How long a draining host must be idle before its drain counts as complete. It covers two intervals of
/// the digests, in which a request that was assigned before the drain was known can still come to light.
pub const IDLE_LIMIT: Millis = Millis(1_500);

/// A host as the list shows it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// The run that is up.
    pub incarnation: Incarnation,
}

/// What an observation is made from.
pub struct ObservationInput<'a> {
    /// Tells whether a host has neither requests nor tasks any more, as far as every entry host knows.
    pub idle: &'a dyn Fn(&HostName) -> bool,
    /// The list, sorted by name.
    pub list: &'a [ListedHost],
    /// Log time of the list.
    pub list_time: LogTime,
    /// Time of the observation.
    pub local_time: LocalTime,
    /// The hosts in the log.
    pub membership: &'a MembershipLedger,
}

/// Idleness of a host without a break.
#[derive(Clone, Copy, Debug)]
struct IdleSpan {
    since: LocalTime,
    /// Version of the host at the start. Another version may belong to another drain, between which the
    /// host served.
    version: HostVersion,
}

/// Compares successive lists with the log.
#[derive(Clone, Debug, Default)]
pub struct HostObserver {
    /// Draining hosts that are idle.
    idle: SortedMap<HostName, IdleSpan>,
    /// Hosts that are not listed, with the time of the first list that lacked them.
    missing: SortedMap<HostName, LogTime>,
}

impl HostObserver {
    /// Returns the records to append now.
    pub fn observe(&mut self, input: &ObservationInput<'_>) -> Vec<MembershipRecord> {
        let hosts = input.membership.hosts().iter();
        let records = hosts.filter_map(|(name, host)| self.observe_host(input, name, host));
        let records = records.collect();
        self.idle
            .retain(|name, _| input.membership.hosts().contains(name));
        self.missing
            .retain(|name, _| input.membership.hosts().contains(name));
        records
    }

    fn observe_host(
        &mut self,
        input: &ObservationInput<'_>,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        match listed(input.list, name) {
            Some(incarnation) => {
                self.missing.remove(name);
                came_up(name, host, incarnation).or_else(|| self.drained(input, name, host))
            }
            None => {
                // What a host does while it is not listed is unknown, which breaks its idleness.
                self.idle.remove(name);
                self.went_down(input.list_time, name, host)
            }
        }
    }

    fn drained(
        &mut self,
        input: &ObservationInput<'_>,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        if host.down.is_some() || !waits_for_idle(&host.activity) || !(input.idle)(name) {
            self.idle.remove(name);
            return None;
        }
        let span = self.idle.get(name).copied();
        let span = span.filter(|span| span.version == host.version);
        let span = span.unwrap_or(IdleSpan {
            since: input.local_time,
            version: host.version,
        });
        self.idle.insert(name.clone(), span);
        if input.local_time.since(span.since) < IDLE_LIMIT {
            return None;
        }
        let (host_name, seen) = (name.clone(), host.version);
        Some(match &host.activity {
            HostActivity::Moving { .. } => MembershipRecord::MoveFinish {
                host: host_name,
                seen,
            },
            _ => MembershipRecord::StopDrained {
                host: host_name,
                seen,
            },
        })
    }

    fn went_down(
        &mut self,
        list_time: LogTime,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        let first = self.missing.get(name).copied().unwrap_or(list_time);
        self.missing.insert(name.clone(), first);
        // A host that drained for a planned stop is expected to be away.
        let expected = host.stop().is_some_and(|stop| stop.drained.is_some());
        let missing = list_time.since(first) >= MISSING_LIMIT;
        (missing && !expected && host.down.is_none()).then(|| MembershipRecord::HostDown {
            host: name.clone(),
            seen: host.version,
        })
    }
}

fn listed(list: &[ListedHost], name: &HostName) -> Option<Incarnation> {
    let index = list.binary_search_by(|row| row.name.cmp(name)).ok()?;
    Some(list[index].incarnation)
}

fn came_up(
    name: &HostName,
    host: &HostState,
    incarnation: Incarnation,
) -> Option<MembershipRecord> {
    let newer = incarnation > host.version.incarnation;
    let same = incarnation == host.version.incarnation;
    // A drained host is rebooted, and until then its old run is still listed. One that still drains goes on
    // with its drain when it is back.
    let awaits_reboot = host.stop().is_some_and(|stop| stop.drained.is_some());
    let back = same && host.down.is_some() && !awaits_reboot;
    (newer || back).then(|| MembershipRecord::HostUp {
        host: name.clone(),
        incarnation,
        seen: host.version,
    })
}

/// Tells whether the host has to become idle before its activity goes on.
fn waits_for_idle(activity: &HostActivity) -> bool {
    match activity {
        HostActivity::Moving { .. } => true,
        HostActivity::Stopping(stop) => stop.drained.is_none(),
        HostActivity::Draining | HostActivity::Serving => false,
    }
}
