use {
    super::{
        PoolSpec,
        deployment::{DATA_CENTRES, RACK_HOSTS},
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

/// A fleet whose records are folded as soon as they are made.
#[derive(Debug)]
pub struct VirtualFleet {
    /// The present log time.
    pub now: LogTime,
    /// The state after all records.
    pub state: FleetState,
    serial: u128,
}

impl VirtualFleet {
    /// Creates a fleet of pools. Hosts are spread over data centres, four to a rack.
    pub fn new(pools: &[PoolSpec]) -> Self {
        let mut sim = Self {
            now: START,
            state: FleetState::new(LogIdentity(1)),
            serial: 0,
        };
        let publish = ConfigRecord::Publish {
            base: sim.state.config.version(),
            document: document(pools),
        };
        sim.append(RecordBody::Config(publish))
            .expect("the configurations of the deployments are valid");
        let places = pools
            .iter()
            .flat_map(|pool| std::iter::repeat_n(pool, pool.hosts));
        for (index, pool) in places.enumerate() {
            let (data_centre, rack) = (index % DATA_CENTRES, index / DATA_CENTRES / RACK_HOSTS);
            let add = MembershipRecord::HostAdd {
                data_centre: name::<DataCentre>(&format!("dc{data_centre}")),
                host: name::<HostName>(&format!("{}-{index}", pool.name)),
                incarnation: Incarnation(1),
                pool: pool.pool(),
                rack: name::<RackName>(&format!("r{rack}")),
            };
            sim.apply(add).expect("the hosts are new");
        }
        sim
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Millis) {
        self.now = self.now + time;
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Millis {
        self.now.since(START)
    }

    /// Returns copies of the hosts, so that records can be made from them while the state changes.
    pub fn hosts(&self) -> Vec<(HostName, HostState)> {
        let hosts = self.state.membership.hosts().iter();
        hosts
            .map(|(name, host)| (name.clone(), host.clone()))
            .collect()
    }

    /// Starts a wave over each pool and names it after the pool.
    pub fn start_waves(&mut self, pools: &[PoolSpec], number: u64, reboot_limit: Millis) {
        for pool in pools {
            let start = MembershipRecord::WaveStart {
                pool: pool.pool(),
                reboot_limit,
                wave: name::<WaveName>(&format!("{}-{number}", pool.name)),
            };
            self.apply(start).expect("the names of the waves differ");
        }
    }

    /// Appends a record about hosts or waves.
    ///
    /// # Errors
    /// The reason why the fold ignored the record.
    pub fn apply(&mut self, record: MembershipRecord) -> Result<(), Rejection> {
        self.append(RecordBody::Membership(record))
    }

    fn append(&mut self, body: RecordBody) -> Result<(), Rejection> {
        self.serial += 1;
        let record = LedgerRecord {
            author: Author("measures".to_owned()),
            body,
            id: RecordId::at(self.now, self.serial),
        };
        let entry = LogEntry {
            offset: self.state.next(),
            records: vec![record],
            time: self.now,
        };
        self.state.apply(&entry).remove(0)
    }
}

/// Returns a name that is known to be valid.
fn name<'a, N>(text: &'a str) -> N
where
    N: TryFrom<&'a str>,
    N::Error: std::fmt::Debug,
{
    N::try_from(text).expect("the names of the deployments are valid")
}

fn document(pools: &[PoolSpec]) -> String {
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
