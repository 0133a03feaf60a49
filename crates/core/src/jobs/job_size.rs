use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Resources that a job requires or that a worker provides.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSize {
    /// Whole accelerators; they are not shared between tasks.
    pub accelerators: u32,
    /// Processor time in thousandths of a core.
    pub cores_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl JobSize {
    /// Tells whether no field exceeds the same field of `available`.
    pub fn fits(&self, available: &Self) -> bool {
        self.accelerators <= available.accelerators
            && self.cores_milli <= available.cores_milli
            && self.memory_mib <= available.memory_mib
    }

    /// Adds two sizes; each field saturates.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Subtracts `other`; each field stops at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    /// Returns the maximum of each field.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, u32::max)
    }

    /// Returns the minimum of each field.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.combine(other, u32::min)
    }

    /// Returns the share of `total` in the field where it is largest, in parts per million.
    pub fn share_of(&self, total: &JobSize) -> u64 {
        let parts_per_million =
            |part: u32, total: u32| u64::from(part) * 1_000_000 / u64::from(total.max(1));
        parts_per_million(self.accelerators, total.accelerators)
            .max(parts_per_million(self.cores_milli, total.cores_milli))
            .max(parts_per_million(self.memory_mib, total.memory_mib))
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
