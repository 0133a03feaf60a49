use {
    super::{
        PoolSpec,
        deployment::{DATA_CENTRES, HOSTS_PER_RACK},
    },
    goldcreststall_core::{
        config::ConfigRecord,
        ids::{DataCentre, HostName, Incarnation, LogTime, Millis, RackName, RecordId, WaveName},
        ledger::{Author, FleetState, LedgerRecord, LogEntry, LogIdentity, RecordBody, Rejection},
        membership::{HostState, MembershipRecord},
    },
    std::fmt::Write,
};

const START: LogTime = LogTime(1_800_000_000_000);

/// A fleet in virtual time whose records are applied to the state as soon as they are created.
#[derive(Debug)]
pub struct VirtualFleet {
    /// Current log time.
    pub now: LogTime,
    /// State after all records so far.
    pub state: FleetState,
    last_number: u128,
}

impl VirtualFleet {
    /// Creates a fleet of `pools`. Hosts are spread over the data centres, [`HOSTS_PER_RACK`] to a rack.
    pub fn new(pools: &[PoolSpec]) -> Self {
        let mut fleet = Self {
            now: START,
            state: FleetState::new(LogIdentity(1)),
            last_number: 0,
        };
        let publish = ConfigRecord::Publish {
            base: fleet.state.config.version(),
            document: config_document(pools),
        };
        fleet
            .append(RecordBody::Config(publish))
            .expect("the configurations of the deployments are valid");
        let host_pools = pools
            .iter()
            .flat_map(|pool| std::iter::repeat_n(pool, pool.hosts));
        for (index, pool) in host_pools.enumerate() {
            let (data_centre, rack) = (index % DATA_CENTRES, index / DATA_CENTRES / HOSTS_PER_RACK);
            let add = MembershipRecord::HostAdd {
                data_centre: valid_name::<DataCentre>(&format!("dc{data_centre}")),
                host: valid_name::<HostName>(&format!("{}-{index}", pool.name)),
                incarnation: Incarnation(1),
                pool: pool.pool_name(),
                rack: valid_name::<RackName>(&format!("r{rack}")),
            };
            fleet.apply(add).expect("the hosts are new");
        }
        fleet
    }

    /// Advances the log time.
    pub fn advance(&mut self, time: Millis) {
        self.now = self.now + time;
    }

    /// Returns the time since the fleet was created.
    pub fn elapsed(&self) -> Millis {
        self.now.since(START)
    }

    /// Returns copies of the hosts, from which records can be created while the state changes.
    pub fn hosts(&self) -> Vec<(HostName, HostState)> {
        let hosts = self.state.membership.hosts().iter();
        hosts
            .map(|(name, host)| (name.clone(), host.clone()))
            .collect()
    }

    /// Starts a wave over each pool, named after the pool and `number`.
    pub fn start_waves(&mut self, pools: &[PoolSpec], number: u64, reboot_limit: Millis) {
        for pool in pools {
            let start = MembershipRecord::WaveStart {
                pool: pool.pool_name(),
                reboot_limit,
                wave: valid_name::<WaveName>(&format!("{}-{number}", pool.name)),
            };
            self.apply(start).expect("the names of the waves differ");
        }
    }

    /// Appends a record about hosts or waves and applies it.
    ///
    /// # Errors
    /// Why the state rejected the record.
    pub fn apply(&mut self, record: MembershipRecord) -> Result<(), Rejection> {
        self.append(RecordBody::Membership(record))
    }

    fn append(&mut self, body: RecordBody) -> Result<(), Rejection> {
        self.last_number += 1;
        let record = LedgerRecord {
            author: Author("measures".to_owned()),
            body,
            id: RecordId::at(self.now, self.last_number),
        };
        let entry = LogEntry {
            offset: self.state.next(),
            records: vec![record],
            time: self.now,
        };
        self.state.apply(&entry).remove(0)
    }
}

/// Converts a text that is known to be a valid name.
fn valid_name<'a, N>(text: &'a str) -> N
where
    N: TryFrom<&'a str>,
    N::Error: std::fmt::Debug,
{
    N::try_from(text).expect("the names of the deployments are valid")
}

fn config_document(pools: &[PoolSpec]) -> String {
    let mut document = String::new();
    for pool in pools {
        let _ = writeln!(
            document,
            "[[pools]]\nname = \"{}\"\nmin_available = {}\nsurvive = \"{}\"",
            pool.name, pool.min_available, pool.survive
        );
    }
    document
}
