/// What an organisation may have running on all runners together; 0 is no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResourceCap {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

/// An organisation of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: String,
    /// Share of the capacity when it is short, in relation to the other organisations, and jobs that it may submit a
    /// second; at least 1.
    pub weight: u64,
    /// Quota of what runs at the same time.
    pub cap: ResourceCap,
}
