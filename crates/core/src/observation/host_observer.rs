use crate::{
    collections::SortedMap,
    ids::{HostName, Incarnation, LocalTime, LogTime, Millis},
    membership::{HostActivity, HostState, HostVersion, MembershipLedger, MembershipRecord},
};

/// How long a host must be missing from the list before it counts as down. It spans three reads of the
/// list, so that one bad response removes no host from its pool.
pub const MISSING_TIMEOUT: Millis = Millis(3_000);
/// How long a draining host must be idle before its drain counts as complete. It covers two intervals of
/// the digests, in which a request that was assigned before the drain was known can still be reported.
pub const IDLE_TIMEOUT: Millis = Millis(1_500);

/// A host in the list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Incarnation that is up.
    pub incarnation: Incarnation,
}

/// State that hosts are observed from.
pub struct ObservationInput<'a> {
    /// Returns whether a host has neither requests nor tasks, as far as every entry host knows.
    pub idle: &'a dyn Fn(&HostName) -> bool,
    /// The list, sorted by name.
    pub list: &'a [ListedHost],
    /// Log time of the list.
    pub list_time: LogTime,
    /// Local time of the observation.
    pub local_time: LocalTime,
    /// The hosts in the log.
    pub membership: &'a MembershipLedger,
}

/// Uninterrupted idle period of a host.
#[derive(Clone, Copy, Debug)]
struct IdlePeriod {
    since: LocalTime,
    /// Version of the host at the start. Another version may belong to another drain, and the host may have
    /// served in between.
    version: HostVersion,
}

/// Compares successive host lists with the log.
#[derive(Clone, Debug, Default)]
pub struct HostObserver {
    /// Idle periods of draining hosts.
    idle_periods: SortedMap<HostName, IdlePeriod>,
    /// Hosts that are missing from the list, with the time of the first list without them.
    missing_hosts: SortedMap<HostName, LogTime>,
}

impl HostObserver {
    /// Returns the records to append now.
    pub fn observe(&mut self, input: &ObservationInput<'_>) -> Vec<MembershipRecord> {
        let hosts = input.membership.hosts().iter();
        let records = hosts.filter_map(|(name, host)| self.observe_host(input, name, host));
        let records = records.collect();
        self.idle_periods
            .retain(|name, _| input.membership.hosts().contains(name));
        self.missing_hosts
            .retain(|name, _| input.membership.hosts().contains(name));
        records
    }

    fn observe_host(
        &mut self,
        input: &ObservationInput<'_>,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        match listed_incarnation(input.list, name) {
            Some(incarnation) => {
                self.missing_hosts.remove(name);
                detect_up(name, host, incarnation)
                    .or_else(|| self.detect_drained(input, name, host))
            }
            None => {
                // What a host does while it is not listed is unknown, which ends its idle period.
                self.idle_periods.remove(name);
                self.detect_down(input.list_time, name, host)
            }
        }
    }

    fn detect_drained(
        &mut self,
        input: &ObservationInput<'_>,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        if host.down.is_some() || !waits_for_idle(&host.activity) || !(input.idle)(name) {
            self.idle_periods.remove(name);
            return None;
        }
        let period = self.idle_periods.get(name).copied();
        let period = period.filter(|period| period.version == host.version);
        let period = period.unwrap_or(IdlePeriod {
            since: input.local_time,
            version: host.version,
        });
        self.idle_periods.insert(name.clone(), period);
        if input.local_time.since(period.since) < IDLE_TIMEOUT {
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

    fn detect_down(
        &mut self,
        list_time: LogTime,
        name: &HostName,
        host: &HostState,
    ) -> Option<MembershipRecord> {
        let missing_since = self.missing_hosts.get(name).copied().unwrap_or(list_time);
        self.missing_hosts.insert(name.clone(), missing_since);
        // A host that has drained for a planned stop is expected to be missing.
        let expected = host.stop().is_some_and(|stop| stop.drained.is_some());
        let missing = list_time.since(missing_since) >= MISSING_TIMEOUT;
        (missing && !expected && host.down.is_none()).then(|| MembershipRecord::HostDown {
            host: name.clone(),
            seen: host.version,
        })
    }
}

fn listed_incarnation(list: &[ListedHost], name: &HostName) -> Option<Incarnation> {
    let index = list.binary_search_by(|row| row.name.cmp(name)).ok()?;
    Some(list[index].incarnation)
}

fn detect_up(
    name: &HostName,
    host: &HostState,
    incarnation: Incarnation,
) -> Option<MembershipRecord> {
    let is_newer = incarnation > host.version.incarnation;
    let is_same = incarnation == host.version.incarnation;
    // A drained host is rebooted, and until then its old incarnation is still listed. A host that is still draining
    // continues its drain when it has returned.
    let awaits_reboot = host.stop().is_some_and(|stop| stop.drained.is_some());
    let has_returned = is_same && host.down.is_some() && !awaits_reboot;
    (is_newer || has_returned).then(|| MembershipRecord::HostUp {
        host: name.clone(),
        incarnation,
        seen: host.version,
    })
}

/// Returns whether the host has to become idle before its activity continues.
fn waits_for_idle(activity: &HostActivity) -> bool {
    match activity {
        HostActivity::Moving { .. } => true,
        HostActivity::Stopping(stop) => stop.drained.is_none(),
        HostActivity::Draining | HostActivity::Serving => false,
    }
}
