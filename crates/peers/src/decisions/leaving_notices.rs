use {
    crate::wire::{DigestContent, LeavingNotice},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime},
        ledger::{LogIdentity, LogOffset},
    },
};

/// Outcome of adding a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeResult {
    /// No notice for the host was known, or only one for an older incarnation.
    Added,
    /// This notice, or one for a newer incarnation, was already known.
    Known,
    /// The host list shows a newer incarnation of the host, or the log made it active again after the
    /// observation.
    Superseded,
}

/// A ledger entry that made a host active again.
#[derive(Clone, Copy, Debug)]
struct Reactivation {
    incarnation: Incarnation,
    offset: LogOffset,
    time: LogTime,
}

impl Reactivation {
    fn supersedes(&self, notice: &LeavingNotice) -> bool {
        notice.incarnation <= self.incarnation && notice.basis <= self.offset
    }
}

/// A notice and the offset of the latest observation that confirms it.
///
/// The basis of the notice itself does not change while the notice is in force, because it is part of every
/// digest and would otherwise change with each response of a leaving target.
#[derive(Clone, Debug)]
struct NoticeRow {
    latest_basis: LogOffset,
    notice: LeavingNotice,
}

/// Leaving notices from the host list, the log, the responses of targets and the peers.
///
/// A notice is removed only when the list shows a newer incarnation of its host or the log makes the host
/// active again. Both are remembered, so that a notice still in circulation is not added again.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    notices: SortedMap<HostName, NoticeRow>,
    /// Newest incarnation of each host that the host list has shown.
    newest_listed: SortedMap<HostName, Incarnation>,
    reactivated: SortedMap<HostName, Reactivation>,
}

impl LeavingNotices {
    /// Adds a notice that this host derived from the log or from the response of a target.
    ///
    /// For the response of a target, the basis is the ledger offset at the time the request was sent.
    pub fn add(&mut self, notice: LeavingNotice) -> NoticeResult {
        let newest = self.newest_listed.get(&notice.host);
        let reactivated = self.reactivated.get(&notice.host);
        if newest.is_some_and(|newest| notice.incarnation < *newest)
            || reactivated.is_some_and(|entry| entry.supersedes(&notice))
        {
            return NoticeResult::Superseded;
        }
        match self.notices.get_mut(&notice.host) {
            Some(row) if row.notice.incarnation > notice.incarnation => NoticeResult::Known,
            Some(row) if row.notice.incarnation == notice.incarnation => {
                row.latest_basis = row.latest_basis.max(notice.basis);
                NoticeResult::Known
            }
            _ => {
                let latest_basis = notice.basis;
                let row = NoticeRow {
                    latest_basis,
                    notice,
                };
                self.notices.insert(row.notice.host.clone(), row);
                NoticeResult::Added
            }
        }
    }

    /// Adds the notices of a peer and returns how many of them were new.
    ///
    /// If the peer does not follow `local_log`, its notices get a basis of 0, because offsets of different
    /// logs cannot be compared.
    pub fn add_from_peer(
        &mut self,
        local_log: Option<LogIdentity>,
        content: &DigestContent,
    ) -> usize {
        let peer_log = content.position().map(|position| position.log);
        let same_log = local_log.is_some() && peer_log == local_log;
        let results = content.leaving().iter().map(|notice| {
            let basis = if same_log { notice.basis } else { LogOffset(0) };
            self.add(LeavingNotice {
                basis,
                ..notice.clone()
            })
        });
        results
            .filter(|result| *result == NoticeResult::Added)
            .count()
    }

    /// Adds a notice from a host list that was valid at `list_time`.
    ///
    /// The list lags behind the log and may still show a host as leaving that the log has made active again.
    /// A notice from such a list is superseded.
    pub fn add_from_list(&mut self, notice: LeavingNotice, list_time: LogTime) -> NoticeResult {
        let reactivated = self.reactivated.get(&notice.host);
        let is_outdated =
            |last: &Reactivation| notice.incarnation <= last.incarnation && list_time <= last.time;
        if reactivated.is_some_and(is_outdated) {
            return NoticeResult::Superseded;
        }
        self.add(notice)
    }

    /// Records that the host list shows an incarnation of a host, and removes notices for older ones.
    pub fn record_listed(&mut self, host: &HostName, incarnation: Incarnation) {
        let newest = self.newest_listed.get(host).copied().unwrap_or_default();
        if incarnation < newest {
            return;
        }
        self.newest_listed.insert(host.clone(), incarnation);
        if self
            .incarnation_of(host)
            .is_some_and(|known| known < incarnation)
        {
            self.notices.remove(host);
        }
        let reactivated = self.reactivated.get(host);
        if reactivated.is_some_and(|entry| entry.incarnation < incarnation) {
            self.reactivated.remove(host);
        }
    }

    /// Records that the ledger entry at `offset` made a host active again or removed it from the fleet.
    ///
    /// After loading a state, the caller repeats this for the hosts whose state names such an entry.
    pub fn record_reactivation(
        &mut self,
        host: &HostName,
        incarnation: Incarnation,
        offset: LogOffset,
        time: LogTime,
    ) {
        let known = self.reactivated.get(host);
        if known.is_some_and(|entry| (entry.incarnation, entry.offset) >= (incarnation, offset)) {
            return;
        }
        let entry = Reactivation {
            incarnation,
            offset,
            time,
        };
        self.reactivated.insert(host.clone(), entry);
        let Some(row) = self.notices.get_mut(host) else {
            return;
        };
        if !entry.supersedes(&row.notice) {
            return;
        }
        row.notice.basis = row.latest_basis;
        if entry.supersedes(&row.notice) {
            self.notices.remove(host);
        }
    }

    /// Returns whether an incarnation of a host is leaving. A notice for a newer incarnation counts as well,
    /// because the older one has ended.
    pub fn is_leaving(&self, host: &HostName, incarnation: Incarnation) -> bool {
        self.incarnation_of(host)
            .is_some_and(|known| known >= incarnation)
    }

    /// Returns the notices for the digest, sorted by host name.
    pub fn notices(&self) -> Vec<LeavingNotice> {
        self.notices
            .values()
            .map(|row| row.notice.clone())
            .collect()
    }

    fn incarnation_of(&self, host: &HostName) -> Option<Incarnation> {
        self.notices.get(host).map(|row| row.notice.incarnation)
    }
}
