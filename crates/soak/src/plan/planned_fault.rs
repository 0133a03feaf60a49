use {
    super::{LateCallSeries, Partition},
    goldcreststall_standins::process::RelayMode,
    std::time::Duration,
};

/// The connections that a network fault affects. Entry hosts and hosts are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WireScope {
    /// From the other entry hosts to this one.
    Link(usize),
    /// From an entry host to the store.
    Store(usize),
    /// From an entry host to the host service.
    HostService(usize),
    /// From all entry hosts to the runner of a host.
    Runner(usize),
    /// From callers to an entry host.
    Callers(usize),
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFaultKind {
    /// Rejects every call.
    Refuses,
    /// Responds after a delay.
    Slow,
    /// Drops every third response.
    LosesResponses,
    /// Applies appends after two seconds and never responds to them.
    AppliesLate,
}

/// How the runner of a host misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostFaultKind {
    /// Every run fails.
    Fails,
    /// No run makes progress.
    Hangs,
    /// Runs take six times as long.
    Slow,
    /// Drops every third response.
    LosesResponses,
    /// Executes start commands after two seconds and never responds to them.
    AppliesLate,
}

/// A fault to inject. Entry hosts and hosts are given by their index, durations by how long the fault lasts.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills the processes of entry hosts and restarts them after a time.
    Kill(Vec<usize>, Duration),
    /// Ends the processes of entry hosts without a sign to those they are connected with, and starts them after a time.
    LosePower(Vec<usize>, Duration),
    /// Sends SIGTERM to the process of an entry host and restarts it once it has ended or was killed after a timeout.
    Terminate(usize),
    /// Suspends the process of an entry host (SIGSTOP) and resumes it after a time.
    Pause(usize, Duration),
    /// Makes an entry host reload (SIGHUP).
    Reload(usize),
    /// Puts the relays of the connections into another mode for a time.
    Wire(WireScope, RelayMode, Duration),
    /// Stops forwarding on the connections that are open now; new connections work.
    SilenceOpen(WireScope),
    /// Makes the store misbehave for a time.
    Store(StoreFaultKind, Duration),
    /// Makes the store drop the history of all topics.
    ForgetHistory,
    /// Makes the runner of a host misbehave for a time.
    Host(usize, HostFaultKind, Duration),
    /// Kills the runner of a host and restarts it after a time, under its former id if its record in the store still
    /// exists.
    CrashHost(usize, Duration),
    /// Cuts an entry host off together with some of the hosts.
    Partition(Partition),
    /// Lets calls to runners be executed late while runners and entry hosts restart.
    LateCalls(LateCallSeries),
    /// Publishes a configuration that adds or removes a queue and changes the timeouts.
    Configure,
    /// Requests a maintenance wave of the hosts, with a maximum number of hosts at once.
    Wave(Vec<usize>, u32),
    /// Makes the callers submit this number of jobs at once.
    Burst(usize),
}

impl Fault {
    /// Returns the name of the fault's kind, which `--only` matches.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Kill(entries, _) if entries.len() > 1 => "kill-many",
            Self::Kill(..) => "kill",
            Self::LosePower(entries, _) if entries.len() > 1 => "power-loss-many",
            Self::LosePower(..) => "power-loss",
            Self::Terminate(_) => "terminate",
            Self::Pause(..) => "pause",
            Self::Reload(_) => "reload",
            Self::Wire(WireScope::Link(_), ..) => "wire-link",
            Self::Wire(WireScope::Store(_), ..) => "wire-store",
            Self::Wire(WireScope::HostService(_), ..) => "wire-hosts",
            Self::Wire(WireScope::Runner(_), ..) => "wire-runner",
            Self::Wire(WireScope::Callers(_), ..) => "wire-callers",
            Self::SilenceOpen(_) => "silence-open",
            Self::Store(..) => "store",
            Self::ForgetHistory => "forget-history",
            Self::Host(..) => "host",
            Self::CrashHost(..) => "crash-host",
            Self::Partition(_) => "partition",
            Self::LateCalls(_) => "late-calls",
            Self::Configure => "configure",
            Self::Wave(..) => "wave",
            Self::Burst(_) => "burst",
        }
    }
}

/// A fault and the time of its injection.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time of the injection, counted from the start of the fault driver.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}
