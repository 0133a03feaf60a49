use {goldcreststall_standins::process::RelayMode, std::time::Duration};

/// Whose connections a fault of the network concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WirePart {
    /// Those of other entry hosts to this one.
    Link(usize),
    /// Those of an entry host to the store.
    Store(usize),
    /// Those of an entry host to the host service.
    HostService(usize),
    /// Those of all entry hosts to the runner of a host.
    Runner(usize),
    /// Those of callers to an entry host.
    Callers(usize),
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFaultKind {
    /// It refuses every call.
    Refuses,
    /// It answers late.
    Slow,
    /// It loses every third answer.
    LosesAnswers,
    /// It carries appends out two seconds late and does not answer them.
    AppliesLate,
}

/// How the runner of a host misbehaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostFaultKind {
    /// Everything that it runs fails.
    Fails,
    /// Nothing that it runs advances.
    Hangs,
    /// Its work takes six times as long.
    Slow,
    /// It loses every third answer.
    LosesAnswers,
    /// It carries orders to start out two seconds late and does not answer them.
    AppliesLate,
}

/// A fault. Entry hosts and hosts are named by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes are killed and started again after a time.
    Kill(Vec<usize>, Duration),
    /// A process is told to stop and started again.
    Terminate(usize),
    /// A process is paused.
    Pause(usize, Duration),
    /// A process is told to reload.
    Reload(usize),
    /// Connections behave in another way.
    Wire(WirePart, RelayMode, Duration),
    /// Open connections pass nothing any more.
    SilenceOpen(WirePart),
    /// The store misbehaves.
    Store(StoreFaultKind, Duration),
    /// The store drops the history of all topics.
    ForgetHistory,
    /// A runner misbehaves.
    Host(usize, HostFaultKind, Duration),
    /// A runner is killed and started again under its former id.
    CrashHost(usize, Duration),
    /// A queue is added or removed, and timeouts change.
    Configure,
    /// Hosts are to be maintained, at most so many at once.
    Wave(Vec<usize>, u32),
    /// So many jobs come at once.
    Burst(usize),
}

impl Fault {
    /// Names the kind of fault.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Kill(entries, _) if entries.len() > 1 => "kill-many",
            Self::Kill(..) => "kill",
            Self::Terminate(_) => "terminate",
            Self::Pause(..) => "pause",
            Self::Reload(_) => "reload",
            Self::Wire(WirePart::Link(_), ..) => "wire-link",
            Self::Wire(WirePart::Store(_), ..) => "wire-store",
            Self::Wire(WirePart::HostService(_), ..) => "wire-hosts",
            Self::Wire(WirePart::Runner(_), ..) => "wire-runner",
            Self::Wire(WirePart::Callers(_), ..) => "wire-callers",
            Self::SilenceOpen(_) => "silence-open",
            Self::Store(..) => "store",
            Self::ForgetHistory => "forget-history",
            Self::Host(..) => "host",
            Self::CrashHost(..) => "crash-host",
            Self::Configure => "configure",
            Self::Wave(..) => "wave",
            Self::Burst(_) => "burst",
        }
    }
}

/// A fault and when it comes, counted from the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it comes.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}
