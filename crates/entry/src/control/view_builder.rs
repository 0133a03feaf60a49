use {
    super::ControlArgs,
    goldcreststall_core::{
        ids::ServiceName,
        ledger::FleetState,
        traffic::{RoutingView, ServiceKey, ServiceView, TargetView, TenantView},
    },
    goldcreststall_platform::hosts::{HostRow, HostStatus, HostsReply},
};

/// Builds the routing view from the folded state and the list of hosts.
pub(super) fn build_view(
    state: &FleetState,
    hosts: &HostsReply,
    args: &ControlArgs,
) -> RoutingView {
    let fleet = state.config.fleet();
    let services: Vec<ServiceView> = fleet
        .services
        .iter()
        .map(|service| ServiceView {
            max_queue: service.max_queue,
            name: service.name.clone(),
        })
        .collect();
    let tenants = fleet.tenants.iter().map(|tenant| TenantView {
        name: tenant.name.clone(),
        weight: tenant.weight,
    });
    let mut targets: Vec<TargetView> = hosts
        .hosts
        .iter()
        .filter_map(|row| target(state, row, args, &services))
        .collect();
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    RoutingView {
        data_centre: Some(args.data_centre.clone()),
        tenants: tenants.collect(),
        targets,
        services,
    }
}

fn target(
    state: &FleetState,
    row: &HostRow,
    args: &ControlArgs,
    services: &[ServiceView],
) -> Option<TargetView> {
    let host = state.membership.hosts().get(&row.name)?;
    let fleet = state.config.fleet();
    let service = fleet
        .services
        .iter()
        .find(|service| service.pool == host.pool)?;
    Some(TargetView {
        address: row.address.to_string(),
        connections: (row.connections / args.entry_count.max(1)).max(1),
        data_centre: row.data_centre.clone(),
        incarnation: row.incarnation,
        leaving: row.status == HostStatus::Leaving,
        name: row.name.clone(),
        service: service_key(services, &service.name)?,
        slots: row.slots,
    })
}

fn service_key(services: &[ServiceView], name: &ServiceName) -> Option<ServiceKey> {
    let index = services
        .binary_search_by(|service| service.name.cmp(name))
        .ok()?;
    Some(ServiceKey(u16::try_from(index).ok()?))
}
