use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName},
        traffic::{PlatformHost, PoolMember, RoutingView, ViewInput},
    },
    std::fmt::Write,
};

/// Entry hosts of a fleet.
pub const ENTRY_HOSTS: usize = 7;
/// Services of a fleet.
pub const SERVICES: usize = 5;
/// Targets of each service.
pub const TARGETS: usize = 10;
/// Slots that each target declares.
pub const SLOTS: usize = 8;

const DATA_CENTRES: usize = 3;

/// A fleet that is measured.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the tables.
    pub name: &'static str,
    /// One-way latency between data centres in microseconds.
    pub one_way: u64,
    /// Organisations that share each service.
    pub organisations: usize,
}

/// The two fleets.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Ferrandi",
        one_way: 1_500,
        organisations: 4,
    },
    Deployment {
        name: "Qasr",
        one_way: 500,
        organisations: 140,
    },
];

impl Deployment {
    /// Returns the latency from an entry host to a target in microseconds.
    pub fn latency(&self, entry: usize, target: usize) -> u64 {
        self.between(entry % DATA_CENTRES, target % TARGETS % DATA_CENTRES)
    }

    /// Returns the latency between two entry hosts in microseconds.
    pub fn peer_latency(&self, from: usize, to: usize) -> u64 {
        self.between(from % DATA_CENTRES, to % DATA_CENTRES)
    }

    /// Builds the first view of an entry host. The place of a target in it is its number.
    pub fn view(&self, entry: usize) -> anyhow::Result<RoutingView> {
        let config = self.config()?;
        let mut hosts = Vec::new();
        let mut members = Vec::new();
        for number in 0..SERVICES * TARGETS {
            let name = HostName::try_from(format!("host-{number:03}"))?;
            hosts.push(PlatformHost {
                address: format!("10.0.0.{number}:80"),
                connections: 64,
                data_centre: data_centre_name(number % TARGETS % DATA_CENTRES)?,
                incarnation: Incarnation(1),
                leaving: false,
                name: name.clone(),
                rack: RackName::try_from(format!("rack-{}", number / 4))?,
                slots: SLOTS as u32,
            });
            members.push(PoolMember {
                activation: 1,
                active: true,
                host: name,
                pool: PoolName::try_from(format!("pool-{}", number / TARGETS))?,
            });
        }
        Ok(RoutingView::default().next(&ViewInput {
            config: &config,
            data_centre: &data_centre_name(entry % DATA_CENTRES)?,
            entry_hosts: ENTRY_HOSTS as u32,
            hosts: &hosts,
            members: &members,
        }))
    }

    fn between(&self, from: usize, to: usize) -> u64 {
        if from == to { 100 } else { self.one_way }
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
