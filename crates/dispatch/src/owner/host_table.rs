use {
    crate::{
        organisations::ResourceUse,
        records::WaveProgress,
        runners::{Capacity, RunnerKey, RunnerTable},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Status of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostStatus {
    /// It runs, or it could run if its pool were not switched off.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It has failed.
    Down,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Its pool.
    pub pool: String,
    /// Status in the list.
    pub status: HostStatus,
    /// Id of its runner, once that is registered.
    pub runner: Option<String>,
    /// Capacity of its runner.
    pub capacity: Capacity,
}

/// An operator's request to maintain hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// Names of the hosts.
    pub hosts: Vec<String>,
    /// Time within which all hosts must be maintained.
    pub duration: Millis,
    /// Maximum number of hosts that are maintained at the same time.
    pub cap: u32,
}

/// The response of the host service to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostResponse {
    /// The command was executed, now or earlier.
    Done,
    /// Not executed for now: the host is busy or leaving, or there were too many calls.
    Busy,
    /// Not executed, and a retry is useless: the host or the wave is unknown.
    Refused,
    /// Not executed: a newer owner issues commands.
    Fenced,
    /// No response: the command may have been executed.
    Unknown,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum HostOperation {
    Move { pool: String },
    Maintain { wave: u64 },
}

#[derive(Clone, Debug)]
pub(super) struct HostState {
    pub(super) report: HostReport,
    /// The operation in progress, and when its command was last sent.
    pub(super) operation: Option<(HostOperation, LocalTime)>,
    /// No command is issued before this time.
    pub(super) paused_until: LocalTime,
    /// When maintenance was accepted; set until the list shows the host up again.
    pub(super) maintained: Option<LocalTime>,
    /// The pool that the host was moved to, and when; set until the list shows it.
    pub(super) moved: Option<(String, LocalTime)>,
    /// A wave has yet to maintain it, so that another host moves first.
    pub(super) due: bool,
}

impl HostState {
    /// Returns the host's runner if it is registered and known.
    pub(super) fn runner_key(&self, runners: &RunnerTable) -> Option<RunnerKey> {
        runners.find(self.report.runner.as_deref()?)
    }

    /// Returns whether the host has no work unknown to this owner.
    fn has_answered(&self, runners: &RunnerTable) -> bool {
        if matches!(
            self.report.status,
            HostStatus::Moving | HostStatus::Maintenance
        ) {
            return true;
        }
        let runner = self.runner_key(runners).and_then(|key| runners.get(key));
        runner.is_some_and(|runner| runner.fenced)
    }
}

/// The hosts, sorted by name.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    pub(super) hosts: Vec<HostState>,
    pub(super) listed_at: Option<LocalTime>,
}

impl HostTable {
    pub(super) fn get(&self, host: &str) -> Option<&HostState> {
        Some(&self.hosts[self.index_of(host)?])
    }

    pub(super) fn get_mut(&mut self, host: &str) -> Option<&mut HostState> {
        let index = self.index_of(host)?;
        Some(&mut self.hosts[index])
    }

    fn index_of(&self, host: &str) -> Option<usize> {
        self.hosts
            .binary_search_by(|state| state.report.host.as_str().cmp(host))
            .ok()
    }

    /// Returns whether no runner of the pool can have work of an earlier owner that this owner does not know; none when
    /// no host of the pool is known.
    ///
    /// A host has one runner at a time, so that stale entries of earlier runners in the list of runners are not
    /// evidence of such work. A host without a registered runner may have one that is cut off and whose entry has
    /// lapsed.
    pub(super) fn pool_answered(&self, pool: &str, runners: &RunnerTable) -> Option<bool> {
        let has_answered = |state: &HostState| state.has_answered(runners);
        let mut members = self.hosts.iter().filter(|state| state.report.pool == pool);
        let first = members.next()?;
        Some(has_answered(first) && members.all(has_answered))
    }

    /// Returns the capacity of the hosts of a pool that may have work unknown to this owner, as in
    /// [`Self::pool_answered`]; none while the hosts of the pool are not known.
    pub(super) fn unanswered_capacity(
        &self,
        pool: &str,
        runners: &RunnerTable,
    ) -> Option<ResourceUse> {
        let mut members = self.hosts.iter().filter(|state| state.report.pool == pool);
        let first = members.next()?;
        let unanswered = std::iter::once(first)
            .chain(members)
            .filter(|state| !state.has_answered(runners));
        Some(unanswered.fold(ResourceUse::default(), |sum, state| {
            sum.plus(&ResourceUse::from(state.report.capacity))
        }))
    }
}

#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) request: WaveRequest,
    pub(super) requested_at: LocalTime,
    pub(super) progress: WaveProgress,
    pub(super) reported: bool,
}

impl WaveState {
    /// Returns by when all hosts are to be maintained.
    pub(super) fn end(&self) -> LocalTime {
        self.requested_at + self.request.duration
    }
}

/// The waves, by number.
#[derive(Debug, Default)]
pub(super) struct WaveTable {
    pub(super) waves: Vec<WaveState>,
    pub(super) restored: Vec<(u64, WaveProgress)>,
    /// When the hosts that a wave waits for were last logged.
    pub(super) logged: LocalTime,
}

impl WaveTable {
    pub(super) fn restore(&mut self, number: u64, progress: WaveProgress) {
        self.restored.push((number, progress));
    }
}
