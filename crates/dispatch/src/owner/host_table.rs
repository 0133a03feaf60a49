use {
    crate::{
        records::WaveProgress,
        runners::{Capacity, RunnerKey, RunnerTable},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostStatus {
    /// It runs, or could run where its pool is off.
    Up,
    /// It is on its way to another pool.
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
    /// Where it stands.
    pub status: HostStatus,
    /// Its runner, once that is registered.
    pub runner: Option<String>,
    /// Room of its runner.
    pub capacity: Capacity,
}

/// An operator's request to maintain hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<String>,
    /// Time in which all must be maintained.
    pub duration: Millis,
    /// Most hosts that are maintained at once.
    pub cap: u32,
}

/// The response of the host service to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostResponse {
    /// It is done, or was done before.
    Done,
    /// Not now: the host is busy or leaving, or too many calls came.
    Busy,
    /// Never: the host or the wave is unknown.
    Refused,
    /// A newer owner gives commands.
    Fenced,
    /// No answer: it may have been done.
    Unknown,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum HostTask {
    Move { pool: String },
    Maintain { wave: u64 },
}

#[derive(Clone, Debug)]
pub(super) struct HostState {
    pub(super) report: HostReport,
    /// The command in progress and when it was sent last.
    pub(super) task: Option<(HostTask, LocalTime)>,
    /// No command before then.
    pub(super) pause: LocalTime,
    /// Maintenance was accepted then and counts until the list shows the host up again.
    pub(super) maintained: Option<LocalTime>,
    /// The pool to which the host was moved and when, until the list shows it.
    pub(super) moved: Option<(String, LocalTime)>,
}

impl HostState {
    /// Returns the host's runner, if it is registered and listed.
    pub(super) fn runner_key(&self, runners: &RunnerTable) -> Option<RunnerKey> {
        runners.find(self.report.runner.as_deref()?)
    }
}

/// The hosts, sorted by name.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    pub(super) hosts: Vec<HostState>,
    pub(super) listed: Option<LocalTime>,
}

impl HostTable {
    /// Returns a host.
    pub(super) fn get(&self, host: &str) -> Option<&HostState> {
        Some(&self.hosts[self.place(host)?])
    }

    /// Returns a host for changes.
    pub(super) fn find(&mut self, host: &str) -> Option<&mut HostState> {
        let place = self.place(host)?;
        Some(&mut self.hosts[place])
    }

    fn place(&self, host: &str) -> Option<usize> {
        self.hosts
            .binary_search_by(|state| state.report.host.as_str().cmp(host))
            .ok()
    }

    /// Returns whether no runner of the pool can hold work of an earlier owner that this one has not seen; none when
    /// no host of the pool is known.
    ///
    /// A host has one runner at a time, so that entries of earlier runners that linger in the list of runners prove
    /// nothing. A host without a registered runner may have one that is cut off and whose entry has lapsed.
    pub(super) fn pool_answered(&self, pool: &str, runners: &RunnerTable) -> Option<bool> {
        let answered = |state: &HostState| {
            let report = &state.report;
            if matches!(report.status, HostStatus::Moving | HostStatus::Maintenance) {
                return true;
            }
            let runner = state.runner_key(runners).and_then(|key| runners.get(key));
            runner.is_some_and(|runner| runner.fenced)
        };
        let mut members = self.hosts.iter().filter(|state| state.report.pool == pool);
        let first = members.next()?;
        Some(answered(first) && members.all(answered))
    }
}

#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) request: WaveRequest,
    pub(super) since: LocalTime,
    pub(super) progress: WaveProgress,
    pub(super) reported: bool,
}

/// The waves, by number.
#[derive(Debug, Default)]
pub(super) struct WaveTable {
    pub(super) waves: Vec<WaveState>,
    pub(super) restored: Vec<(u64, WaveProgress)>,
    /// When the hosts that a wave waits for were last written down.
    pub(super) logged: LocalTime,
}

impl WaveTable {
    pub(super) fn restore(&mut self, number: u64, progress: WaveProgress) {
        self.restored.push((number, progress));
    }
}
