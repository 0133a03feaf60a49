use {
    crate::wire::{DigestContent, LeavingNotice},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime},
        ledger::{LogIdentity, LogOffset},
    },
};

/// What became of a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeResult {
    /// The host was not marked before, or an older run of it was.
    Added,
    /// The notice was known.
    Known,
    /// The list shows a newer run of the host, or the log made it active again after the observation.
    Overruled,
}

/// A ledger entry that made a host active again.
#[derive(Clone, Copy, Debug)]
struct Reactivation {
    incarnation: Incarnation,
    offset: LogOffset,
    time: LogTime,
}

impl Reactivation {
    fn overrules(&self, notice: &LeavingNotice) -> bool {
        notice.incarnation <= self.incarnation && notice.basis <= self.offset
    }
}

/// A notice and the offset of the latest observation that repeats it.
///
/// The basis of the notice itself stays as it is while the notice stands: it is part of every digest, and
/// each answer of a leaving target would otherwise change it.
#[derive(Clone, Debug)]
struct NoticeRow {
    latest: LogOffset,
    notice: LeavingNotice,
}

/// The union of the leaving notices from the host list, the log, the targets' answers and the peers.
///
/// A notice goes only when the list shows a newer run of its host or the log makes the host active again.
/// Both are remembered, so that a notice that is still passed around cannot come back.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    notices: SortedMap<HostName, NoticeRow>,
    /// Newest run of each host that the list showed.
    newest: SortedMap<HostName, Incarnation>,
    reactivated: SortedMap<HostName, Reactivation>,
}

impl LeavingNotices {
    /// Takes a notice made here from the log or from the response of a target.
    ///
    /// For the response of a target the basis is the ledger offset at the time the request was sent.
    pub fn add(&mut self, notice: LeavingNotice) -> NoticeResult {
        let newest = self.newest.get(&notice.host);
        let reactivated = self.reactivated.get(&notice.host);
        if newest.is_some_and(|newest| notice.incarnation < *newest)
            || reactivated.is_some_and(|entry| entry.overrules(&notice))
        {
            return NoticeResult::Overruled;
        }
        match self.notices.get_mut(&notice.host) {
            Some(row) if row.notice.incarnation > notice.incarnation => NoticeResult::Known,
            Some(row) if row.notice.incarnation == notice.incarnation => {
                row.latest = row.latest.max(notice.basis);
                NoticeResult::Known
            }
            _ => {
                let latest = notice.basis;
                let row = NoticeRow { latest, notice };
                self.notices.insert(row.notice.host.clone(), row);
                NoticeResult::Added
            }
        }
    }

    /// Takes the notices of a peer and returns how many hosts were not marked before.
    ///
    /// The basis of a peer that does not follow `own_log` counts as 0, because offsets of different
    /// logs cannot be compared.
    pub fn add_from_peer(
        &mut self,
        own_log: Option<LogIdentity>,
        content: &DigestContent,
    ) -> usize {
        let peer_log = content.position().map(|position| position.log);
        let same_log = own_log.is_some() && peer_log == own_log;
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

    /// Takes a notice from a host list that was valid at `list_time`.
    ///
    /// The list lags: it may still call a host leaving that the log has made active again. Such a list
    /// says nothing new and is overruled.
    pub fn add_from_list(&mut self, notice: LeavingNotice, list_time: LogTime) -> NoticeResult {
        let reactivated = self.reactivated.get(&notice.host);
        let is_older =
            |last: &Reactivation| notice.incarnation <= last.incarnation && list_time <= last.time;
        if reactivated.is_some_and(is_older) {
            return NoticeResult::Overruled;
        }
        self.add(notice)
    }

    /// Notes that the host list shows a run of a host, and drops the notices of older runs.
    pub fn list_shows(&mut self, host: &HostName, incarnation: Incarnation) {
        let newest = self.newest.get(host).copied().unwrap_or_default();
        if incarnation < newest {
            return;
        }
        self.newest.insert(host.clone(), incarnation);
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

    /// Notes that the ledger entry at `offset` made a host active again or removed it from the fleet.
    ///
    /// After a state was loaded, the caller repeats this for the hosts whose state names such an entry.
    pub fn log_reactivates(
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
        if !entry.overrules(&row.notice) {
            return;
        }
        row.notice.basis = row.latest;
        if entry.overrules(&row.notice) {
            self.notices.remove(host);
        }
    }

    /// Tells whether a run of a host is leaving. A notice of a newer run counts as well, because the
    /// older run has ended.
    pub fn is_leaving(&self, host: &HostName, incarnation: Incarnation) -> bool {
        self.incarnation_of(host)
            .is_some_and(|known| known >= incarnation)
    }

    /// Returns the notices for the digest, sorted by host.
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
