use {
    super::LeavingNotice,
    crate::ids::{DataCentre, HostName, Incarnation, OrganisationName, RackName, ServiceName},
    std::collections::VecDeque,
};

/// Key of a service in a [`RoutingView`]; never given to another service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub u16);

/// Key of one incarnation of a target in a [`RoutingView`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetKey {
    /// Counts the uses of the place.
    pub generation: u32,
    /// Place in [`RoutingView::targets`].
    pub index: u32,
}

/// Key of an organisation in a [`RoutingView`]; never given to another organisation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrganisationKey(pub u16);

/// A service as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceView {
    /// Most requests that this entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the configuration no longer has the service.
    pub retired: bool,
}

/// A target as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// Activation of the host in the log.
    pub activation: u64,
    /// Socket address of the target, `ip:port`.
    pub address: String,
    /// Most connections that this entry host may open to the target.
    pub connections: u32,
    /// Where the target is.
    pub data_centre: DataCentre,
    /// Counts the uses of this place of the list.
    pub generation: u32,
    /// The run of the host that is meant.
    pub incarnation: Incarnation,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// Name of the host.
    pub name: HostName,
    /// Whether the host is still a target; false for a place that is kept for late answers only.
    pub present: bool,
    /// Rack of the target.
    pub rack: RackName,
    /// The service that the target offers.
    pub service: ServiceKey,
    /// Requests that the target runs at the same time, over all entry hosts.
    pub slots: u32,
}

impl TargetView {
    /// Returns the notice that says that this run of the host takes no new work.
    pub fn leaving_notice(&self) -> LeavingNotice {
        LeavingNotice {
            activation: self.activation,
            host: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns what tells the target apart from all others.
    pub(super) fn identity(&self) -> (&HostName, ServiceKey, Incarnation) {
        (&self.name, self.service, self.incarnation)
    }
}

/// An organisation as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationView {
    /// Most requests of the organisation that this entry host holds, queued or in flight.
    pub max_requests: Option<u32>,
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of the organisation relative to the others.
    pub weight: u32,
}

/// What the control thread publishes to the traffic threads.
///
/// A key keeps its meaning in all later views built from this one: a service or organisation that is
/// configured again gets its old key back, and a target that was replaced gets a key of its own.
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
    /// Configured services in order of name.
    pub(super) service_order: Vec<ServiceKey>,
    /// Present targets in order of name and service.
    pub(super) target_order: Vec<u32>,
    /// Configured organisations in order of name.
    pub(super) organisation_order: Vec<OrganisationKey>,
    /// Vacated places, the oldest first.
    pub(super) vacant: VecDeque<u32>,
}

impl RoutingView {
    /// Returns the key of a configured service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceKey> {
        let order = &self.service_order;
        let place = order
            .binary_search_by(|key| self.services[usize::from(key.0)].name.cmp(name))
            .ok()?;
        Some(order[place])
    }

    /// Returns the key of a present target; the first one when the host serves several services.
    pub fn target(&self, name: &HostName) -> Option<TargetKey> {
        self.targets_of(name).next()
    }

    /// Returns the keys of the present targets on a host, one for each service it serves.
    pub fn targets_of(&self, name: &HostName) -> impl Iterator<Item = TargetKey> {
        let order = &self.target_order;
        let first = order.partition_point(|index| self.targets[*index as usize].name < *name);
        let rest = order[first..].iter();
        rest.map_while(move |index| {
            let target = &self.targets[*index as usize];
            (target.name == *name).then_some(TargetKey {
                generation: target.generation,
                index: *index,
            })
        })
    }

    /// Returns the target behind a key, also when it is no longer present.
    pub fn target_at(&self, key: TargetKey) -> Option<&TargetView> {
        let target = self.targets.get(key.index as usize)?;
        (target.generation == key.generation).then_some(target)
    }

    /// Returns the key of a configured organisation.
    pub fn organisation(&self, name: &OrganisationName) -> Option<OrganisationKey> {
        let order = &self.organisation_order;
        let place = order
            .binary_search_by(|key| self.organisations[usize::from(key.0)].name.cmp(name))
            .ok()?;
        Some(order[place])
    }

    /// Returns the notice for a target that says that it is leaving.
    pub fn leaving_notice(&self, key: TargetKey) -> Option<LeavingNotice> {
        Some(self.target_at(key)?.leaving_notice())
    }

    /// Iterates over the places of the present targets in order of name and service.
    pub(super) fn present_targets(&self) -> impl Iterator<Item = usize> {
        self.target_order.iter().map(|index| *index as usize)
    }
}
