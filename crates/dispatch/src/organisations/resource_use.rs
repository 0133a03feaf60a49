use {
    super::ResourceCap,
    crate::{jobs::StepSpec, runners::Capacity},
};

/// Shares are counted in parts of this size: billionths.
const SHARE_SCALE: u64 = 1_000_000_000;

/// What work uses on all runners together. A sum over hundreds of runners needs more than the 32 bits of a
/// [`Capacity`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResourceUse {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl From<Capacity> for ResourceUse {
    fn from(capacity: Capacity) -> Self {
        Self {
            cpu: u64::from(capacity.cpu),
            mem_mb: u64::from(capacity.mem_mb),
            gpu: u64::from(capacity.gpu),
        }
    }
}

impl ResourceUse {
    /// Returns what `count` work items of a step use. Filling work counts with its processor time, although it uses only
    /// what other work leaves: a quota limits everything that runs.
    pub fn of_step(step: &StepSpec, count: u32) -> Self {
        let total = |part: u32| u64::from(part) * u64::from(count);
        Self {
            cpu: total(step.cpu),
            mem_mb: total(step.mem_mb),
            gpu: total(step.gpu),
        }
    }

    /// Returns the sum of each part.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
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

    /// Returns the smaller one of each part.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            mem_mb: self.mem_mb.min(other.mem_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns whether no part is above its limit in `cap`.
    pub fn is_within(&self, cap: &ResourceCap) -> bool {
        let fits = |used: u64, limit: u64| limit == 0 || used <= limit;
        fits(self.cpu, cap.cpu) && fits(self.mem_mb, cap.mem_mb) && fits(self.gpu, cap.gpu)
    }

    /// Returns the largest of the shares of `total` that the parts take, in billionths.
    pub fn dominant_share(&self, total: &Self) -> u64 {
        let share = |used: u64, total: u64| used.saturating_mul(SHARE_SCALE) / total.max(1);
        share(self.cpu, total.cpu)
            .max(share(self.mem_mb, total.mem_mb))
            .max(share(self.gpu, total.gpu))
    }
}
