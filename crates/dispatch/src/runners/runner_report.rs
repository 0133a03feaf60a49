use {
    crate::jobs::ItemName,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Capacity of a runner, or demand of a work item.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Processor time, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MB.
    pub mem_mb: u32,
    /// Number of accelerators.
    pub gpu: u32,
}

impl Capacity {
    /// Returns whether each part is at least as large as that of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Returns the sum of each part, but at most the largest number: a runner can list more runs than it has room for.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns the larger one of each part.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns the difference of each part, but at least 0.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Status that a runner reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerStatus {
    /// It accepts work.
    Ready,
    /// It is leaving and accepts no new work.
    Draining,
}

/// The entry of a runner in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// Id of the runner; several instances that follow each other may share it.
    pub id: String,
    /// Start of this instance in Unix milliseconds; distinguishes the instances of one id.
    pub started_ms: u64,
    /// Service of the runner, whose name is also that of its pool.
    pub service: String,
    /// Address that accepts commands.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: String,
    /// Labels that work can require, among them the kind and the rack of the runner.
    pub labels: Vec<String>,
    /// Rack of its host.
    pub rack: Option<String>,
    /// Total capacity.
    pub capacity: Capacity,
    /// Status that it reports of itself.
    pub status: RunnerStatus,
}

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// It is a member of a gang and waited too long for the other members.
    Alone,
    /// Another member of its gang ended.
    Broken,
    /// It succeeded.
    Done,
    /// It failed, by its own fault or that of the runner.
    Failed,
    /// Its lease lapsed.
    Lapsed,
    /// A command stopped it.
    Stopped,
}

/// A run that a runner lists as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRun {
    /// Sequence number of the end in this instance of the runner.
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

/// A run that a runner lists as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedRun {
    /// The work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of the work that is done, in percent; for a long-running work item the share of its start-up.
    pub percent: u32,
    /// Tail of the response times in milliseconds for a serving work item, otherwise processor time in use.
    pub load: u32,
}

/// The response of a runner to a hold call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldResponse {
    /// Reading of the runner's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the instance that responded, if it reports it.
    pub started_ms: Option<u64>,
    /// Runs that are running.
    pub running: Vec<ListedRun>,
    /// Runs that have ended and whose ends are not acknowledged.
    pub ended: Vec<EndedRun>,
}
