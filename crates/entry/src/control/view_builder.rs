use {
    super::ControlArgs,
    goldcreststall_core::{
        ledger::FleetState,
        traffic::{PlatformHost, PoolMember, RoutingView, ViewInput},
    },
    goldcreststall_platform::hosts::{HostListing, HostRow, HostStatus},
};

/// Builds the successor of the routing view `previous` from the fleet state and the host list.
pub(super) fn build_view(
    previous: &RoutingView,
    state: &FleetState,
    listing: &HostListing,
    args: &ControlArgs,
) -> RoutingView {
    let hosts: Vec<PlatformHost> = listing.hosts.iter().map(platform_host).collect();
    let members = state.membership.hosts().iter();
    let members: Vec<PoolMember> = members
        .map(|(name, host)| PoolMember {
            // The version increases with each change of the host, and so with each activation.
            activation: host.version.change,
            active: host.is_available(),
            host: name.clone(),
            pool: host.pool.clone(),
        })
        .collect();
    previous.next(&ViewInput {
        config: state.config.fleet(),
        data_centre: &args.data_centre,
        entry_hosts: args.entry_count,
        entry_rank: args.entry_rank,
        hosts: &hosts,
        members: &members,
    })
}

fn platform_host(row: &HostRow) -> PlatformHost {
    PlatformHost {
        address: row.address.to_string(),
        connections: row.connections,
        data_centre: row.data_centre.clone(),
        incarnation: row.incarnation,
        leaving: row.status == HostStatus::Leaving,
        name: row.name.clone(),
        rack: row.rack.clone(),
        slots: row.slots,
    }
}
