use {
    super::{
        OrganisationKey, OrganisationView, PlatformHost, PoolMember, RoutingView, ServiceKey,
        ServiceView, TargetView, ViewInput,
    },
    crate::{config::ServiceConfig, ids::PoolName},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of vacant target indexes before the oldest is reused. A host that is absent from a lagging
/// host list and returns within this many replacements keeps its key and its in-flight count.
const MAX_VACANT_TARGETS: usize = 256;

impl RoutingView {
    /// Builds the next view. Keys of this view stay valid in the new one.
    pub fn next(&self, input: &ViewInput<'_>) -> Self {
        let mut view = self.clone();
        view.data_centre = Some(input.data_centre.clone());
        view.assign_service_keys(input);
        view.assign_organisation_keys(input);
        view.assign_target_keys(input);
        view
    }

    fn assign_service_keys(&mut self, input: &ViewInput<'_>) {
        for service in &mut self.services {
            service.retired = true;
        }
        let mut order = Vec::new();
        for config in &input.config.services {
            let known = self.services.iter().position(|row| row.name == config.name);
            // When all keys are used, the service stays unknown and its requests are refused as not run.
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

    fn assign_organisation_keys(&mut self, input: &ViewInput<'_>) {
        let mut order = Vec::new();
        for config in &input.config.organisations {
            let known = self
                .organisations
                .iter()
                .position(|row| row.name == config.name);
            let Ok(key) = u16::try_from(known.unwrap_or(self.organisations.len())) else {
                continue;
            };
            // Each entry host enforces an even share, so that the fleet-wide quota holds without coordination. A share
            // of zero would refuse all requests of an organisation whose quota is below the number of entry hosts.
            let share = |quota: u32| (quota / input.entry_hosts.max(1)).max(quota.min(1));
            let organisation = OrganisationView {
                max_requests: config.max_in_flight.map(share),
                name: config.name.clone(),
                weight: config.weight,
            };
            match known {
                Some(index) => self.organisations[index] = organisation,
                None => self.organisations.push(organisation),
            }
            order.push(OrganisationKey(key));
        }
        self.organisation_order = order;
    }

    fn assign_target_keys(&mut self, input: &ViewInput<'_>) {
        let known = self.known_targets();
        let wanted = self.wanted_targets(input);
        let mut present = vec![false; self.targets.len()];
        let mut added = Vec::new();
        for target in wanted {
            let position = known.binary_search_by(|index| {
                self.targets[*index as usize]
                    .identity()
                    .cmp(&target.identity())
            });
            match position {
                Ok(position) => {
                    let index = known[position] as usize;
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
        self.vacant_indexes
            .retain(|index| !present[*index as usize]);
        for (index, present) in present.iter().enumerate() {
            let target = &mut self.targets[index];
            if !present && target.present {
                target.present = false;
                target.leaving = true;
                self.vacant_indexes.push_back(index as u32);
            }
        }
        for target in added {
            self.add_target(target);
        }
        self.sort_targets();
    }

    fn add_target(&mut self, target: TargetView) {
        if self.vacant_indexes.len() <= MAX_VACANT_TARGETS {
            self.targets.push(target);
            return;
        }
        let Some(index) = self.vacant_indexes.pop_front() else {
            return;
        };
        let row = &mut self.targets[index as usize];
        let generation = row.generation.wrapping_add(1);
        *row = TargetView {
            generation,
            ..target
        };
    }

    fn sort_targets(&mut self) {
        let targets = &self.targets;
        let indexes = 0..targets.len() as u32;
        let mut order: Vec<u32> = indexes
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
        // The newest incarnation of a name sorts first and is the one that is kept.
        hosts.sort_by(|left, right| {
            let names = left.name.cmp(&right.name);
            names.then(right.incarnation.cmp(&left.incarnation))
        });
        hosts.dedup_by(|later, first| later.name == first.name);
        let mut wanted = Vec::new();
        for host in hosts {
            let position = members.binary_search_by(|member| member.host.cmp(&host.name));
            if let Ok(position) = position {
                self.add_host_targets(input, host, members[position], &mut wanted);
            }
        }
        wanted
    }

    /// Returns the slots of a host; the configured number if the host declares none.
    fn host_slots(&self, input: &ViewInput<'_>, host: &PlatformHost, service: ServiceKey) -> u32 {
        if host.slots > 0 {
            return host.slots;
        }
        let name = &self.services[usize::from(service.0)].name;
        input.config.service(name).map_or(0, |config| config.slots)
    }

    fn add_host_targets(
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
        for (position, service) in services.into_iter().enumerate() {
            let position = position as u32;
            wanted.push(TargetView {
                activation: member.activation,
                address: host.address.clone(),
                connections: connection_share(input, host, position, count),
                data_centre: host.data_centre.clone(),
                generation: 0,
                incarnation: host.incarnation,
                leaving: host.leaving || !member.active,
                name: host.name.clone(),
                present: true,
                rack: host.rack.clone(),
                service,
                slots: even_share(self.host_slots(input, host, service), position, count),
            });
        }
    }
}

/// Returns the part of `total` at `position` when it is divided evenly into `count` parts.
fn even_share(total: u32, position: u32, count: u32) -> u32 {
    total / count + u32::from(position < total % count)
}

/// Returns the connections that this entry host may open to a host for the service at `position` of `count`.
fn connection_share(input: &ViewInput<'_>, host: &PlatformHost, position: u32, count: u32) -> u32 {
    let entry_hosts = input.entry_hosts.max(1);
    let share = host.connections / entry_hosts;
    if share >= count {
        return even_share(share, position, count);
    }
    // Rounded down, a service would get no connection from any entry host. Each entry host and service gets one until
    // the connections are used up, from a place that depends on the host.
    let parts = u64::from(entry_hosts) * u64::from(count);
    let part = u64::from(input.entry_rank) * u64::from(count) + u64::from(position);
    let start = xxh3_64(host.name.as_str().as_bytes()) % parts;
    u32::from((part + start) % parts < u64::from(host.connections))
}

/// Returns the services of a pool, which share the slots and connections of its hosts evenly.
fn pool_services<'a>(
    input: &ViewInput<'a>,
    pool: &'a PoolName,
) -> impl Iterator<Item = &'a ServiceConfig> + use<'a> {
    let services = input.config.services.iter();
    services.filter(move |service| service.pool == *pool)
}
