use crate::ids::{DataCentre, HostName, Incarnation, ServiceName, TenantName};

/// Key of a service in a [`RoutingView`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub u16);

/// Key of a target in a [`RoutingView`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetKey(pub u32);

/// Key of a tenant in a [`RoutingView`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TenantKey(pub u16);

/// A service as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceView {
    /// Most requests that this entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
}

/// A target as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// Socket address of the target, `ip:port`.
    pub address: String,
    /// Most connections that this entry host may open to the target.
    pub connections: u32,
    /// Where the target is.
    pub data_centre: DataCentre,
    /// The run of the host that is meant.
    pub incarnation: Incarnation,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// Name of the host.
    pub name: HostName,
    /// The service that the target offers.
    pub service: ServiceKey,
    /// Requests that the target runs at the same time, over all entry hosts.
    pub slots: u32,
}

/// A tenant as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TenantView {
    /// Name of the tenant.
    pub name: TenantName,
    /// Share of the tenant relative to the others.
    pub weight: u32,
}

/// What the control thread publishes to the traffic threads. Lists are sorted by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingView {
    /// Data centre of this entry host.
    pub data_centre: Option<DataCentre>,
    /// Services, indexed by [`ServiceKey`].
    pub services: Vec<ServiceView>,
    /// Targets, indexed by [`TargetKey`].
    pub targets: Vec<TargetView>,
    /// Tenants, indexed by [`TenantKey`].
    pub tenants: Vec<TenantView>,
}

impl RoutingView {
    /// Returns the key of a service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceKey> {
        let services = &self.services;
        let index = services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        Some(ServiceKey(u16::try_from(index).ok()?))
    }

    /// Returns the key of a target.
    pub fn target(&self, name: &HostName) -> Option<TargetKey> {
        let targets = &self.targets;
        let index = targets
            .binary_search_by(|target| target.name.cmp(name))
            .ok()?;
        Some(TargetKey(u32::try_from(index).ok()?))
    }

    /// Returns the key of a tenant.
    pub fn tenant(&self, name: &TenantName) -> Option<TenantKey> {
        let tenants = &self.tenants;
        let index = tenants
            .binary_search_by(|tenant| tenant.name.cmp(name))
            .ok()?;
        Some(TenantKey(u16::try_from(index).ok()?))
    }
}
