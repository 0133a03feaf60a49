use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What a job needs, or what a worker holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSize {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor time in thousandths of a core.
    pub cores_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl JobSize {
    /// Tells whether this size fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.accelerators <= room.accelerators
            && self.cores_milli <= room.cores_milli
            && self.memory_mib <= room.memory_mib
    }

    /// Adds two sizes.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Subtracts `other`; what would be negative becomes zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    /// Returns the larger value of each field.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u32::max)
    }

    /// Returns the smaller value of each field.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.combine(other, u32::min)
    }

    /// Returns the largest share of `whole` over the fields, in parts per million.
    pub fn share_of(&self, whole: &JobSize) -> u64 {
        let part = |part: u32, whole: u32| u64::from(part) * 1_000_000 / u64::from(whole.max(1));
        part(self.accelerators, whole.accelerators)
            .max(part(self.cores_milli, whole.cores_milli))
            .max(part(self.memory_mib, whole.memory_mib))
    }

    fn combine(&self, other: &Self, combine: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            accelerators: combine(self.accelerators, other.accelerators),
            cores_milli: combine(self.cores_milli, other.cores_milli),
            memory_mib: combine(self.memory_mib, other.memory_mib),
        }
    }
}

impl fmt::Display for JobSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} m-cores, {} MiB, {} accelerators",
            self.cores_milli, self.memory_mib, self.accelerators
        )
    }
}
