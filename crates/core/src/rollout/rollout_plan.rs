use {
    crate::{
        ids::{Millis, WaveName},
        membership::MembershipRecord,
    },
    std::fmt,
};

/// Reason why a wave starts no stop now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// An operator paused the wave.
    Paused,
    /// The host list is too old to remove hosts from the pool.
    StaleList {
        /// Age of the host list.
        age: Millis,
    },
    /// The availability budget of the pool is spent.
    BudgetSpent {
        /// Number of hosts that stay available when the largest failure domain is lost.
        assured: u32,
        /// Number of hosts of the pool that are down.
        down: u32,
        /// Number of hosts that have to be available.
        min_available: u32,
    },
    /// Hosts of the wave have to return before more are stopped.
    AwaitsReturn {
        /// Number of hosts that exceeded the reboot limit.
        overdue: u32,
        /// Number of hosts that are stopping or rebooting within the limit.
        stopping: u32,
    },
    /// All remaining hosts are being stopped.
    StopsInProgress {
        /// Number of hosts that still have work.
        draining: u32,
        /// Number of hosts that are rebooting.
        rebooting: u32,
    },
    /// None of the remaining hosts can be stopped.
    HostsUnavailable {
        /// Number of hosts that drain for an operator, are moving, or are stopped by another wave or an operator.
        busy: u32,
        /// Number of hosts that are down.
        down: u32,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Paused => write!(formatter, "paused by an operator"),
            Self::StaleList { age } => write!(formatter, "the host list is {age} old"),
            Self::BudgetSpent {
                assured,
                down,
                min_available,
            } => write!(
                formatter,
                "the budget is spent: {assured} hosts assured, {min_available} needed, {down} down"
            ),
            Self::AwaitsReturn { overdue, stopping } => write!(
                formatter,
                "{stopping} hosts have to come back first, {overdue} are overdue"
            ),
            Self::StopsInProgress {
                draining,
                rebooting,
            } => write!(
                formatter,
                "the last hosts stop: {draining} drain, {rebooting} reboot"
            ),
            Self::HostsUnavailable { busy, down } => write!(
                formatter,
                "no host that is left can be stopped: {busy} are busy, {down} are down"
            ),
        }
    }
}

/// Progress of an open wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveProgress {
    /// Number of hosts that have been maintained.
    pub done: usize,
    /// Number of remaining hosts, including those that are being stopped.
    pub pending: usize,
    /// Why the wave starts no stop now; `None` if the plan contains a stop or the end of the wave.
    pub wait: Option<WaitReason>,
    /// Name of the wave.
    pub wave: WaveName,
}

/// Records to append now, and the progress of each open wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutPlan {
    /// Records to append.
    pub records: Vec<MembershipRecord>,
    /// Open waves, sorted by name.
    pub waves: Vec<WaveProgress>,
}
