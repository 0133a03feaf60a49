use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName},
        traffic::{PlatformHost, PoolMember, RoutingView, ViewInput},
    },
    std::fmt::Write,
};

/// Number of entry hosts of a fleet.
pub const ENTRY_HOSTS: usize = 7;
/// Number of services of a fleet, each with its own pool.
pub const SERVICES: usize = 5;
/// Number of targets in the pool of each service.
pub const POOL_TARGETS: usize = 10;
/// Number of slots that each target declares.
pub const TARGET_SLOTS: usize = 8;

const DATA_CENTRES: usize = 3;

/// A simulated fleet with [`ENTRY_HOSTS`] entry hosts and [`SERVICES`] services.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name printed in the tables.
    pub name: &'static str,
    /// One-way latency between data centres in microseconds.
    pub one_way_us: u64,
    /// Number of organisations that share each service.
    pub organisations: usize,
}

/// The fleets for which each table is printed.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Ferrandi",
        one_way_us: 1_500,
        organisations: 4,
    },
    Deployment {
        name: "Qasr",
        one_way_us: 500,
        organisations: 140,
    },
];

impl Deployment {
    /// Returns the one-way latency from an entry host to a target in microseconds.
    pub fn latency(&self, entry: usize, target: usize) -> u64 {
        self.latency_between(entry % DATA_CENTRES, target % POOL_TARGETS % DATA_CENTRES)
    }

    /// Returns the one-way latency between two entry hosts in microseconds.
    pub fn peer_latency(&self, from: usize, to: usize) -> u64 {
        self.latency_between(from % DATA_CENTRES, to % DATA_CENTRES)
    }

    /// Builds the first view of an entry host. The index of a target in the view is its number.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn view(&self, entry: usize) -> anyhow::Result<RoutingView> {
        let config = self.config()?;
        let mut hosts = Vec::new();
        let mut members = Vec::new();
        for number in 0..SERVICES * POOL_TARGETS {
            let name = HostName::try_from(format!("host-{number:03}"))?;
            hosts.push(PlatformHost {
                address: format!("10.0.0.{number}:80"),
                connections: 64,
                data_centre: data_centre_name(number % POOL_TARGETS % DATA_CENTRES)?,
                incarnation: Incarnation(1),
                leaving: false,
                name: name.clone(),
                rack: RackName::try_from(format!("rack-{}", number / 4))?,
                slots: TARGET_SLOTS as u32,
            });
            members.push(PoolMember {
                activation: 1,
                active: true,
                host: name,
                pool: PoolName::try_from(format!("pool-{}", number / POOL_TARGETS))?,
            });
        }
        Ok(RoutingView::default().next(&ViewInput {
            config: &config,
            data_centre: &data_centre_name(entry % DATA_CENTRES)?,
            entry_hosts: ENTRY_HOSTS as u32,
            entry_rank: entry as u32,
            hosts: &hosts,
            members: &members,
        }))
    }

    /// Returns the one-way latency between two data centres, 100 microseconds within one.
    fn latency_between(&self, from: usize, to: usize) -> u64 {
        if from == to { 100 } else { self.one_way_us }
    }

    fn config(&self) -> anyhow::Result<FleetConfig> {
        let mut text = String::new();
        for service in 0..SERVICES {
            writeln!(
                text,
                "[[pools]]\nname = \"pool-{service}\"\nmin_available = 1"
            )?;
            writeln!(
                text,
                "[[services]]\nname = \"service-{service}\"\npool = \"pool-{service}\""
            )?;
        }
        for organisation in 0..self.organisations {
            writeln!(text, "[[tenants]]\nname = \"tenant-{organisation:03}\"")?;
        }
        Ok(FleetConfig::try_from(text.as_str())?)
    }
}

fn data_centre_name(number: usize) -> anyhow::Result<DataCentre> {
    Ok(DataCentre::try_from(format!("centre-{number}"))?)
}
