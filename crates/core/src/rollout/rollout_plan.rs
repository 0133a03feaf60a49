use {
    crate::{
        ids::{Millis, WaveName},
        membership::MembershipRecord,
    },
    std::fmt,
};

/// Why a wave starts no stop now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// An operator paused the wave.
    Paused,
    /// The host list is too old to take hosts out of the pool.
    StaleList {
        /// Age of the list.
        age: Millis,
    },
    /// The pool has no unit of its budget left.
    BudgetSpent {
        /// Hosts that stay available when the largest failure domain is lost.
        assured: u32,
        /// Hosts of the pool that are down.
        down: u32,
        /// Hosts that have to be available.
        min_available: u32,
    },
    /// Hosts of the wave have to come back before more are stopped.
    AwaitsReturn {
        /// Hosts that exceeded the reboot limit.
        overdue: u32,
        /// Hosts that are stopped and within the limit.
        stopping: u32,
    },
    /// All hosts that are left are being stopped.
    StopsInProgress {
        /// Hosts with work left.
        draining: u32,
        /// Hosts that reboot.
        rebooting: u32,
    },
    /// The hosts that are left cannot be stopped.
    HostsUnavailable {
        /// Hosts that drain for an operator, move, or are stopped by something else.
        busy: u32,
        /// Hosts that are down.
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

/// State of an open wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveProgress {
    /// Hosts that were maintained.
    pub done: usize,
    /// Hosts that are left, including those that are being stopped.
    pub pending: usize,
    /// Why the wave starts no stop now; `None` when the plan has a stop or the end of the wave.
    pub wait: Option<WaitReason>,
    /// Name of the wave.
    pub wave: WaveName,
}

/// What to append now, and the state of each open wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutPlan {
    /// The records to append.
    pub records: Vec<MembershipRecord>,
    /// The open waves, in order of name.
    pub waves: Vec<WaveProgress>,
}
