use {
    super::LeavingNotice,
    crate::ids::{DataCentre, HostName, Incarnation, OrganisationName, RackName, ServiceName},
    std::collections::VecDeque,
};

/// Key of a service in a [`RoutingView`]; never reused for another service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub u16);

/// Key of one incarnation of a target in a [`RoutingView`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetKey {
    /// Number of times that the index has been reused.
    pub generation: u32,
    /// Index in [`RoutingView::targets`].
    pub index: u32,
}

/// Key of an organisation in a [`RoutingView`]; never reused for another organisation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrganisationKey(pub u16);

/// A service as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceView {
    /// Maximum number of requests that this entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service is no longer configured.
    pub retired: bool,
}

/// A target as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// Activation of the host in the log.
    pub activation: u64,
    /// Socket address of the target, `ip:port`.
    pub address: String,
    /// Maximum number of connections that this entry host may open to the target.
    pub connections: u32,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Number of times that the index of the target has been reused.
    pub generation: u32,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// Name of the host.
    pub name: HostName,
    /// Whether the host is still a target; false for a row that is only kept for late responses.
    pub present: bool,
    /// Rack of the target.
    pub rack: RackName,
    /// Service that the target offers.
    pub service: ServiceKey,
    /// Number of requests that the target runs concurrently, for all entry hosts together.
    pub slots: u32,
}

impl TargetView {
    /// Returns the notice that this incarnation of the host takes no new work.
    pub fn leaving_notice(&self) -> LeavingNotice {
        LeavingNotice {
            activation: self.activation,
            host: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the fields that identify a target.
    pub(super) fn identity(&self) -> (&HostName, ServiceKey, Incarnation) {
        (&self.name, self.service, self.incarnation)
    }
}

/// An organisation as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationView {
    /// Maximum number of requests of the organisation at this entry host, queued or in flight.
    pub max_requests: Option<u32>,
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Weight of the organisation in fair queueing, relative to the others.
    pub weight: u32,
}

/// The routing data that the control thread publishes to the traffic threads.
///
/// Keys stay valid in all later views built from this one: a service or organisation that is configured
/// again gets its old key, and a replacement of a target gets a new key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingView {
    /// Data centre of this entry host.
    pub data_centre: Option<DataCentre>,
    /// Services, indexed by [`ServiceKey`].
    pub services: Vec<ServiceView>,
    /// Targets, indexed by [`TargetKey::index`].
    pub targets: Vec<TargetView>,
    /// Organisations, indexed by [`OrganisationKey`].
    pub organisations: Vec<OrganisationView>,
    /// Configured services, sorted by name.
    pub(super) service_order: Vec<ServiceKey>,
    /// Present targets, sorted by name and service.
    pub(super) target_order: Vec<u32>,
    /// Configured organisations, sorted by name.
    pub(super) organisation_order: Vec<OrganisationKey>,
    /// Indexes of targets that are no longer present, in the order in which they became vacant.
    pub(super) vacant_indexes: VecDeque<u32>,
}

impl RoutingView {
    /// Returns the key of a configured service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceKey> {
        let order = &self.service_order;
        let position = order
            .binary_search_by(|key| self.services[usize::from(key.0)].name.cmp(name))
            .ok()?;
        Some(order[position])
    }

    /// Returns the key of a present target; the first one if the host serves several services.
    pub fn target(&self, name: &HostName) -> Option<TargetKey> {
        self.targets_of(name).next()
    }

    /// Returns the keys of the present targets on a host, one for each service that it serves.
    pub fn targets_of(&self, name: &HostName) -> impl Iterator<Item = TargetKey> {
        let order = &self.target_order;
        let first = order.partition_point(|index| self.targets[*index as usize].name < *name);
        let following = order[first..].iter();
        following.map_while(move |index| {
            let target = &self.targets[*index as usize];
            (target.name == *name).then_some(TargetKey {
                generation: target.generation,
                index: *index,
            })
        })
    }

    /// Returns the target of a key, even if the target is no longer present.
    pub fn target_at(&self, key: TargetKey) -> Option<&TargetView> {
        let target = self.targets.get(key.index as usize)?;
        (target.generation == key.generation).then_some(target)
    }

    /// Returns the key of a configured organisation.
    pub fn organisation(&self, name: &OrganisationName) -> Option<OrganisationKey> {
        let order = &self.organisation_order;
        let position = order
            .binary_search_by(|key| self.organisations[usize::from(key.0)].name.cmp(name))
            .ok()?;
        Some(order[position])
    }

    /// Returns the notice that a target is leaving.
    pub fn leaving_notice(&self, key: TargetKey) -> Option<LeavingNotice> {
        Some(self.target_at(key)?.leaving_notice())
    }

    /// Iterates over the indexes of the present targets, sorted by name and service.
    pub(super) fn present_targets(&self) -> impl Iterator<Item = usize> {
        self.target_order.iter().map(|index| *index as usize)
    }
}
