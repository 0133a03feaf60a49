use {
    super::WaitReason,
    crate::{
        collections::SortedMap,
        ids::{DataCentre, HostName, LogTime, Millis, RackName, WaveName},
        membership::{HostState, MembershipLedger, PoolBudget, WaveState},
    },
    std::cmp::Reverse,
};

/// Hosts whose last maintenance lies in the same period count as equally old, which allows spreading the
/// stops over racks and data centres.
const MAINTENANCE_AGE_BUCKET: Millis = Millis(24 * 60 * 60 * 1000);
/// Until its first host has returned, a wave stops at most one host in this many, in case its maintenance
/// prevents hosts from starting.
const CANARY_DIVISOR: u32 = 2;

/// An available host that a wave still has to stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a HostName,
    pub(super) state: &'a HostState,
}

/// Number of hosts per data centre and per rack.
#[derive(Debug, Default)]
struct DomainCounts<'a> {
    data_centres: SortedMap<&'a DataCentre, u32>,
    racks: SortedMap<(&'a DataCentre, &'a RackName), u32>,
}

impl<'a> DomainCounts<'a> {
    fn add(&mut self, host: &'a HostState) {
        let data_centre = self.data_centre(host);
        let rack = self.rack(host);
        self.data_centres.insert(&host.data_centre, data_centre + 1);
        self.racks.insert((&host.data_centre, &host.rack), rack + 1);
    }

    fn data_centre(&self, host: &HostState) -> u32 {
        let count = self.data_centres.get(&&host.data_centre);
        count.copied().unwrap_or_default()
    }

    fn rack(&self, host: &HostState) -> u32 {
        let count = self.racks.get(&(&host.data_centre, &host.rack));
        count.copied().unwrap_or_default()
    }
}

/// Selects the hosts that one wave stops next.
#[derive(Debug)]
pub(super) struct StopSelection<'a> {
    busy: u32,
    candidates: Vec<Candidate<'a>>,
    /// Number of hosts that the wave has maintained.
    done: u32,
    down: u32,
    draining: u32,
    /// Hosts that are unavailable for any reason, by domain.
    unavailable: DomainCounts<'a>,
    members: u32,
    overdue: u32,
    pool_down: u32,
    rebooting: u32,
    /// Hosts that the wave still has to stop, by domain.
    remaining: DomainCounts<'a>,
}

impl<'a> StopSelection<'a> {
    pub(super) fn new(
        membership: &'a MembershipLedger,
        name: &WaveName,
        wave: &'a WaveState,
        now: LogTime,
    ) -> Self {
        let mut selection = Self {
            busy: 0,
            candidates: Vec::new(),
            done: wave.done.len() as u32,
            down: 0,
            draining: 0,
            unavailable: DomainCounts::default(),
            members: 0,
            overdue: 0,
            pool_down: 0,
            rebooting: 0,
            remaining: DomainCounts::default(),
        };
        for (host, state) in membership.members(&wave.pool) {
            selection.members += 1;
            selection.pool_down += u32::from(state.down.is_some());
            if !state.is_available() {
                selection.unavailable.add(state);
            }
            if !wave.done.contains(host) {
                selection.add_pending(host, state, name, now);
            }
        }
        selection
    }

    fn add_pending(
        &mut self,
        name: &'a HostName,
        state: &'a HostState,
        wave: &WaveName,
        now: LogTime,
    ) {
        if state.is_available() {
            self.remaining.add(state);
            self.candidates.push(Candidate { name, state });
            return;
        }
        let stop = state.stop().filter(|_| state.is_stopped_by(wave));
        match stop {
            Some(stop) if stop.is_overdue(now) => self.overdue += 1,
            Some(stop) if stop.drained.is_some() => self.rebooting += 1,
            Some(_) if state.down.is_some() => self.down += 1,
            Some(_) => self.draining += 1,
            None if state.down.is_some() => self.down += 1,
            None => self.busy += 1,
        }
    }

    /// Returns whether no host can be stopped.
    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns why a wave without candidates waits.
    pub(super) fn reason_without_candidates(&self) -> WaitReason {
        if self.draining + self.rebooting > 0 {
            return WaitReason::StopsInProgress {
                draining: self.draining,
                rebooting: self.rebooting,
            };
        }
        WaitReason::HostsUnavailable {
            busy: self.busy,
            down: self.down + self.overdue,
        }
    }

    /// Returns the next host to stop and charges it to `budget`, or the reason why there is none.
    pub(super) fn next_host(
        &mut self,
        budget: &mut PoolBudget<'a>,
    ) -> Result<Candidate<'a>, WaitReason> {
        if self.is_empty() {
            return Err(self.reason_without_candidates());
        }
        if self.awaits_return(budget.slack()) {
            return Err(WaitReason::AwaitsReturn {
                overdue: self.overdue,
                stopping: self.draining + self.rebooting,
            });
        }
        let mut order: Vec<usize> = (0..self.candidates.len()).collect();
        order.sort_by_cached_key(|index| self.rank(&self.candidates[*index]));
        let is_allowed = |index: &usize| budget.try_remove(self.candidates[*index].state).is_ok();
        let Some(index) = order.into_iter().find(is_allowed) else {
            return Err(WaitReason::BudgetSpent {
                assured: budget.assured(),
                down: self.pool_down,
                min_available: budget.min_available(),
            });
        };
        let host = self.candidates.swap_remove(index);
        self.unavailable.add(host.state);
        self.draining += 1;
        Ok(host)
    }

    /// Returns whether hosts have to return before the next one is stopped.
    ///
    /// A single stop at a time is always allowed when the budget permits it. Concurrent stops keep units of the
    /// budget free for the hosts that are expected not to return.
    fn awaits_return(&self, slack: u32) -> bool {
        let stopping = self.draining + self.rebooting;
        if stopping == 0 {
            return false;
        }
        let is_canary_full = self.done == 0 && stopping >= self.members.div_ceil(CANARY_DIVISOR);
        is_canary_full || (self.overdue > 0 && slack <= self.expected_overdue(stopping + 1))
    }

    /// Returns the expected number of overdue hosts among `stops` hosts, rounded, from the fraction of overdue hosts
    /// so far. One overdue host among many that returned is no reason to slow the wave down.
    fn expected_overdue(&self, stops: u32) -> u32 {
        let ended = (self.done + self.overdue).max(1);
        (2 * stops * self.overdue + ended) / (2 * ended)
    }

    /// Returns the sort key of a host in the order of stops: longest without maintenance first, then where the
    /// fewest hosts are unavailable, then where the most hosts remain to be stopped.
    fn rank(&self, host: &Candidate<'a>) -> impl Ord + use<'a> {
        let state = host.state;
        (
            state.maintained.0 / MAINTENANCE_AGE_BUCKET.0,
            self.unavailable.data_centre(state),
            self.unavailable.rack(state),
            Reverse(self.remaining.data_centre(state)),
            Reverse(self.remaining.rack(state)),
            state.maintained,
            host.name,
        )
    }
}
