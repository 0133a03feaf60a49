use {
    crate::wire::{DigestContent, LeavingMark},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime},
        ledger::{LogIdentity, LogOffset},
    },
};

/// What became of a mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MarkResult {
    /// The host was not marked before, or an older run of it was.
    Marked,
    /// The mark was known.
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
    fn overrules(&self, mark: &LeavingMark) -> bool {
        mark.incarnation <= self.incarnation && mark.basis <= self.offset
    }
}

/// A mark and the offset of the latest observation that repeats it.
///
/// The basis of the mark itself stays as it is while the mark stands: it is part of every digest, and
/// each answer of a leaving target would otherwise change it.
#[derive(Clone, Debug)]
struct MarkRow {
    latest: LogOffset,
    mark: LeavingMark,
}

/// The union of the leaving marks from the host list, the log, the targets' answers and the peers.
///
/// A mark goes only when the list shows a newer run of its host or the log makes the host active again.
/// Both are remembered, so that a mark that is still passed around cannot come back.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    marks: SortedMap<HostName, MarkRow>,
    /// Newest run of each host that the list showed.
    newest: SortedMap<HostName, Incarnation>,
    reactivated: SortedMap<HostName, Reactivation>,
}

impl LeavingMarks {
    /// Takes a mark made here from the log or from the response of a target.
    ///
    /// For the response of a target the basis is the ledger offset at the time the request was sent.
    pub fn mark(&mut self, mark: LeavingMark) -> MarkResult {
        let newest = self.newest.get(&mark.host);
        let reactivated = self.reactivated.get(&mark.host);
        if newest.is_some_and(|newest| mark.incarnation < *newest)
            || reactivated.is_some_and(|entry| entry.overrules(&mark))
        {
            return MarkResult::Overruled;
        }
        match self.marks.get_mut(&mark.host) {
            Some(row) if row.mark.incarnation > mark.incarnation => MarkResult::Known,
            Some(row) if row.mark.incarnation == mark.incarnation => {
                row.latest = row.latest.max(mark.basis);
                MarkResult::Known
            }
            _ => {
                let latest = mark.basis;
                let row = MarkRow { latest, mark };
                self.marks.insert(row.mark.host.clone(), row);
                MarkResult::Marked
            }
        }
    }

    /// Takes the marks of a peer and returns how many hosts were not marked before.
    ///
    /// The basis of a peer that does not follow `own_log` counts as 0, because offsets of different
    /// logs cannot be compared.
    pub fn mark_from_peer(
        &mut self,
        own_log: Option<LogIdentity>,
        content: &DigestContent,
    ) -> usize {
        let peer_log = content.position().map(|position| position.log);
        let same_log = own_log.is_some() && peer_log == own_log;
        let results = content.leaving().iter().map(|mark| {
            let basis = if same_log { mark.basis } else { LogOffset(0) };
            self.mark(LeavingMark {
                basis,
                ..mark.clone()
            })
        });
        results
            .filter(|result| *result == MarkResult::Marked)
            .count()
    }

    /// Takes a mark from a host list that was valid at `list_time`.
    ///
    /// The list lags: it may still call a host leaving that the log has made active again. Such a list
    /// says nothing new and is overruled.
    pub fn mark_from_list(&mut self, mark: LeavingMark, list_time: LogTime) -> MarkResult {
        let reactivated = self.reactivated.get(&mark.host);
        let is_older =
            |entry: &Reactivation| mark.incarnation <= entry.incarnation && list_time <= entry.time;
        if reactivated.is_some_and(is_older) {
            return MarkResult::Overruled;
        }
        self.mark(mark)
    }

    /// Notes that the host list shows a run of a host, and drops the marks of older runs.
    pub fn list_shows(&mut self, host: &HostName, incarnation: Incarnation) {
        let newest = self.newest.get(host).copied().unwrap_or_default();
        if incarnation < newest {
            return;
        }
        self.newest.insert(host.clone(), incarnation);
        if self.marked(host).is_some_and(|marked| marked < incarnation) {
            self.marks.remove(host);
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
        let Some(row) = self.marks.get_mut(host) else {
            return;
        };
        if !entry.overrules(&row.mark) {
            return;
        }
        row.mark.basis = row.latest;
        if entry.overrules(&row.mark) {
            self.marks.remove(host);
        }
    }

    /// Tells whether a run of a host is leaving. A mark of a newer run counts as well, because the
    /// older run has ended.
    pub fn is_leaving(&self, host: &HostName, incarnation: Incarnation) -> bool {
        self.marked(host)
            .is_some_and(|marked| marked >= incarnation)
    }

    /// Returns the marks for the digest, sorted by host.
    pub fn marks(&self) -> Vec<LeavingMark> {
        self.marks.values().map(|row| row.mark.clone()).collect()
    }

    fn marked(&self, host: &HostName) -> Option<Incarnation> {
        self.marks.get(host).map(|row| row.mark.incarnation)
    }
}
