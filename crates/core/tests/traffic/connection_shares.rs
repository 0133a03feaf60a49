//! Guards against entry hosts that together exceed the connections of a host, or that open none to it.

use {
    super::fleet::Fleet,
    goldcreststall_core::{ids::PoolName, traffic::RoutingView},
};

const ENTRY_HOSTS: u32 = 7;

/// Returns the connections of each service, for all entry hosts together.
fn connections_by_service(connections: u32, services: usize) -> Vec<u32> {
    let mut fleet = Fleet::new(services, 0, 1);
    fleet.add_host(0, 0);
    fleet.hosts[0].connections = connections;
    for config in &mut fleet.config.services {
        config.pool = PoolName::try_from("p0").unwrap();
    }
    let mut totals = vec![0; services];
    for rank in 0..ENTRY_HOSTS {
        fleet.entry_rank = rank;
        let view = fleet.view(&RoutingView::default());
        assert_eq!(view.targets.len(), services);
        for target in &view.targets {
            totals[usize::from(target.service.0)] += target.connections;
        }
    }
    totals
}

/// A host with fewer connections than entry hosts and services was used by none of them.
#[test]
fn few_connections() {
    for services in 1..=3 {
        for connections in 1..=64 {
            let totals = connections_by_service(connections, services);
            let context = format!("{connections} connections, {services} services: {totals:?}");
            assert!(totals.iter().sum::<u32>() <= connections, "{context}");
            let used = totals.iter().filter(|total| **total > 0).count();
            assert_eq!(used, services.min(connections as usize), "{context}");
        }
    }
}

/// Different entry hosts must be left without a connection at different hosts.
#[test]
fn shared_by_name() {
    let mut fleet = Fleet::new(1, 20, 1);
    for host in &mut fleet.hosts {
        host.connections = 3;
    }
    for rank in 0..ENTRY_HOSTS {
        fleet.entry_rank = rank;
        let view = fleet.view(&RoutingView::default());
        let used = view.targets.iter().filter(|target| target.connections > 0);
        assert!(used.count() > 0, "entry host {rank} has no connection");
    }
}
