use {
    super::{LeavingMark, PlatformHost, PoolMember, ViewInput},
    crate::{
        config::ServiceConfig,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName, ServiceName, TenantName},
    },
    std::collections::VecDeque,
};

/// Vacated target places kept before the oldest is used again. A host that drops out of a lagging
/// host list and returns within this many replacements keeps its key and its in-flight count.
const VACANT_KEPT: usize = 256;

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

/// Key of a tenant in a [`RoutingView`]; never given to another tenant.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TenantKey(pub u16);

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
    fn identity(&self) -> (&HostName, ServiceKey, Incarnation) {
        (&self.name, self.service, self.incarnation)
    }
}

/// A tenant as the traffic policy sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TenantView {
    /// Name of the tenant.
    pub name: TenantName,
    /// Share of the tenant relative to the others.
    pub weight: u32,
}

/// What the control thread publishes to the traffic threads.
///
/// A key keeps its meaning in all later views built from this one: a service or tenant that is
/// configured again gets its old key back, and a target that was replaced gets a key of its own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingView {
    /// Data centre of this entry host.
    pub data_centre: Option<DataCentre>,
    /// Services, indexed by [`ServiceKey`].
    pub services: Vec<ServiceView>,
    /// Targets, indexed by [`TargetKey::index`].
    pub targets: Vec<TargetView>,
    /// Tenants, indexed by [`TenantKey`].
    pub tenants: Vec<TenantView>,
    /// Configured services in order of name.
    service_order: Vec<ServiceKey>,
    /// Present targets in order of name and service.
    target_order: Vec<u32>,
    /// Configured tenants in order of name.
    tenant_order: Vec<TenantKey>,
    /// Vacated places, the oldest first.
    vacant: VecDeque<u32>,
}

impl RoutingView {
    /// Builds the view that follows this one. Keys of this view stay valid in the new one.
    pub fn next(&self, input: &ViewInput<'_>) -> Self {
        let mut view = self.clone();
        view.data_centre = Some(input.data_centre.clone());
        view.place_services(input);
        view.place_tenants(input);
        view.place_targets(input);
        view
    }

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

    /// Returns the key of a configured tenant.
    pub fn tenant(&self, name: &TenantName) -> Option<TenantKey> {
        let order = &self.tenant_order;
        let place = order
            .binary_search_by(|key| self.tenants[usize::from(key.0)].name.cmp(name))
            .ok()?;
        Some(order[place])
    }

    /// Returns the mark that a target's own notice of leaving stands for.
    pub fn leaving_mark(&self, key: TargetKey) -> Option<LeavingMark> {
        let target = self.target_at(key)?;
        Some(LeavingMark {
            activation: target.activation,
            host: target.name.clone(),
            incarnation: target.incarnation,
        })
    }

    /// Iterates over the places of the present targets in order of name and service.
    pub(super) fn present_targets(&self) -> impl Iterator<Item = usize> {
        self.target_order.iter().map(|index| *index as usize)
    }

    fn place_services(&mut self, input: &ViewInput<'_>) {
        for service in &mut self.services {
            service.retired = true;
        }
        let mut order = Vec::new();
        for config in &input.config.services {
            let known = self.services.iter().position(|row| row.name == config.name);
            // A key space that is used up leaves the service unknown, which is refused as not run.
            let Ok(key) = u16::try_from(known.unwrap_or(self.services.len())) else {
                continue;
            };
            let service = ServiceView {
                max_queue: config.max_queue,
                name: config.name.clone(),
                retired: false,
            };
            match known {
                Some(index) => self.services[index] = service,
                None => self.services.push(service),
            }
            order.push(ServiceKey(key));
        }
        self.service_order = order;
    }

    fn place_tenants(&mut self, input: &ViewInput<'_>) {
        let mut order = Vec::new();
        for config in &input.config.tenants {
            let known = self.tenants.iter().position(|row| row.name == config.name);
            let Ok(key) = u16::try_from(known.unwrap_or(self.tenants.len())) else {
                continue;
            };
            let tenant = TenantView {
                name: config.name.clone(),
                weight: config.weight,
            };
            match known {
                Some(index) => self.tenants[index] = tenant,
                None => self.tenants.push(tenant),
            }
            order.push(TenantKey(key));
        }
        self.tenant_order = order;
    }

    fn place_targets(&mut self, input: &ViewInput<'_>) {
        let known = self.known_targets();
        let wanted = self.wanted_targets(input);
        let mut present = vec![false; self.targets.len()];
        let mut added = Vec::new();
        for target in wanted {
            let place = known.binary_search_by(|index| {
                self.targets[*index as usize]
                    .identity()
                    .cmp(&target.identity())
            });
            match place {
                Ok(place) => {
                    let index = known[place] as usize;
                    present[index] = true;
                    let generation = self.targets[index].generation;
                    self.targets[index] = TargetView {
                        generation,
                        ..target
                    };
                }
                Err(_) => added.push(target),
            }
        }
        self.vacant.retain(|index| !present[*index as usize]);
        for (index, present) in present.iter().enumerate() {
            let target = &mut self.targets[index];
            if !present && target.present {
                target.present = false;
                target.leaving = true;
                self.vacant.push_back(index as u32);
            }
        }
        for target in added {
            self.add_target(target);
        }
        self.order_targets();
    }

    fn add_target(&mut self, target: TargetView) {
        if self.vacant.len() <= VACANT_KEPT {
            self.targets.push(target);
            return;
        }
        let Some(index) = self.vacant.pop_front() else {
            return;
        };
        let place = &mut self.targets[index as usize];
        let generation = place.generation.wrapping_add(1);
        *place = TargetView {
            generation,
            ..target
        };
    }

    fn order_targets(&mut self) {
        let targets = &self.targets;
        let indices = 0..targets.len() as u32;
        let mut order: Vec<u32> = indices
            .filter(|index| targets[*index as usize].present)
            .collect();
        order.sort_by(|left, right| {
            let left = targets[*left as usize].identity();
            left.cmp(&targets[*right as usize].identity())
        });
        self.target_order = order;
    }

    fn known_targets(&self) -> Vec<u32> {
        let mut known: Vec<u32> = (0..self.targets.len() as u32).collect();
        known.sort_by(|left, right| {
            let left = self.targets[*left as usize].identity();
            left.cmp(&self.targets[*right as usize].identity())
        });
        known
    }

    fn wanted_targets(&self, input: &ViewInput<'_>) -> Vec<TargetView> {
        let mut members: Vec<&PoolMember> = input.members.iter().collect();
        members.sort_by(|left, right| left.host.cmp(&right.host));
        let mut hosts: Vec<&PlatformHost> = input.hosts.iter().collect();
        // The newest incarnation of a name comes first and is the one that is kept.
        hosts.sort_by(|left, right| {
            let names = left.name.cmp(&right.name);
            names.then(right.incarnation.cmp(&left.incarnation))
        });
        hosts.dedup_by(|later, first| later.name == first.name);
        let mut wanted = Vec::new();
        for host in hosts {
            let place = members.binary_search_by(|member| member.host.cmp(&host.name));
            if let Ok(place) = place {
                self.add_host(input, host, members[place], &mut wanted);
            }
        }
        wanted
    }

    fn add_host(
        &self,
        input: &ViewInput<'_>,
        host: &PlatformHost,
        member: &PoolMember,
        wanted: &mut Vec<TargetView>,
    ) {
        let services: Vec<ServiceKey> = pool_services(input, &member.pool)
            .filter_map(|service| self.service(&service.name))
            .collect();
        let count = services.len() as u32;
        let entry_hosts = input.entry_hosts.max(1);
        for (place, service) in services.into_iter().enumerate() {
            let part = |total: u32| total / count + u32::from((place as u32) < total % count);
            wanted.push(TargetView {
                activation: member.activation,
                address: host.address.clone(),
                connections: part(host.connections / entry_hosts),
                data_centre: host.data_centre.clone(),
                generation: 0,
                incarnation: host.incarnation,
                leaving: host.leaving || !member.active,
                name: host.name.clone(),
                present: true,
                rack: host.rack.clone(),
                service,
                slots: part(host.slots),
            });
        }
    }
}

/// Returns the services of a pool; they share the slots and connections of its hosts evenly.
fn pool_services<'a>(
    input: &ViewInput<'a>,
    pool: &'a PoolName,
) -> impl Iterator<Item = &'a ServiceConfig> + use<'a> {
    let services = input.config.services.iter();
    services.filter(move |service| service.pool == *pool)
}
