use {crate::jobs::ItemName, std::net::SocketAddr};

/// Room of a runner, or what a work item takes of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub mem_mb: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Capacity {
    /// Returns whether `other` fits into this room.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Returns the sum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns the difference, at least 0 in each part.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// What a runner says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerStatus {
    /// It takes work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// The entry of a runner in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// Name of the runner's lifetime, or of several that follow each other.
    pub id: String,
    /// Start of this lifetime in Unix milliseconds; tells lifetimes of one id apart.
    pub started_ms: u64,
    /// The pool.
    pub service: String,
    /// Where it takes commands.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Everything that work can require of the runner, its kind and rack among it.
    pub labels: Vec<String>,
    /// The rack of its host.
    pub rack: Option<String>,
    /// Room.
    pub capacity: Capacity,
    /// What it says of itself.
    pub status: RunnerStatus,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// A member of the gang waited too long for the others.
    Alone,
    /// Another member of the gang ended.
    Broken,
    /// With success.
    Done,
    /// By a fault of its own or of the runner.
    Failed,
    /// Its lease ended.
    Lapsed,
    /// By a command.
    Stopped,
}

/// A run that a runner lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end in this lifetime of the runner.
    pub number: u64,
    /// The work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A run that a runner lists as at work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// The work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of the work that is done, in percent.
    pub percent: u32,
    /// Tail of the response times in milliseconds for a serving work item, else processor time in use.
    pub load: u32,
}

/// The response of a runner to a hold call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HoldResponse {
    /// Reading of the runner's steady clock.
    pub clock_ms: u64,
    /// Start of the lifetime that answered, if it says so.
    pub started_ms: Option<u64>,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}
