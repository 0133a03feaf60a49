use {
    super::{START, pool},
    goldcreststall_core::{
        config::ConfigRecord,
        ids::{DataCentre, HostName, Incarnation, LogTime, Millis, RackName, RecordId, WaveName},
        ledger::{
            Author, FleetState, LedgerRecord, LogEntry, LogIdentity, LogOffset, RecordBody,
            Rejection,
        },
        membership::{HostState, MembershipRecord as Record, SeenWave},
    },
};

/// A small fleet for tests that write each record explicitly.
pub struct SmallFleet {
    /// Log time of the next entry.
    pub now: LogTime,
    /// The state after all entries.
    pub state: FleetState,
    last_serial: u128,
}

impl SmallFleet {
    /// Creates a fleet with the configuration `document`.
    pub fn new(document: &str) -> Self {
        let mut fleet = Self {
            now: START,
            state: FleetState::new(LogIdentity(1)),
            last_serial: 0,
        };
        fleet.publish(document).unwrap();
        fleet
    }

    /// Adds hosts `prefix0`, `prefix1` ... to a pool, in turn over 3 data centres with 2 racks each.
    pub fn add_hosts(&mut self, prefix: &str, count: usize, to: &str) {
        for index in 0..count {
            let data_centre = format!("dc{}", index % 3);
            let rack = format!("r{}", index / 3 % 2);
            let add = Record::HostAdd {
                data_centre: DataCentre::try_from(data_centre.as_str()).unwrap(),
                host: super::host(&format!("{prefix}{index}")),
                incarnation: Incarnation(1),
                pool: pool(to),
                rack: RackName::try_from(rack.as_str()).unwrap(),
            };
            self.apply(add).unwrap();
        }
    }

    /// Publishes a configuration based on the one in force.
    pub fn publish(&mut self, document: &str) -> Result<(), Rejection> {
        let base = self.state.config.version();
        let document = document.to_owned();
        self.append(RecordBody::Config(ConfigRecord::Publish { base, document }))
    }

    /// Appends a record about hosts or waves.
    pub fn apply(&mut self, record: Record) -> Result<(), Rejection> {
        self.append(RecordBody::Membership(record))
    }

    /// Appends a record in an entry of its own.
    pub fn append(&mut self, body: RecordBody) -> Result<(), Rejection> {
        self.last_serial += 1;
        let record = LedgerRecord {
            author: Author("operator".to_owned()),
            body,
            id: RecordId::at(self.now, self.last_serial),
        };
        let entry = LogEntry {
            offset: LogOffset(self.state.next().0),
            records: vec![record],
            time: self.now,
        };
        self.state.apply(&entry)[0]
    }

    /// Returns a host.
    pub fn host(&self, name: &str) -> &HostState {
        let hosts = self.state.membership.hosts();
        hosts.get(&super::host(name)).unwrap()
    }

    /// Returns the name and version of a host for a record.
    pub fn seen(&self, name: &str) -> (HostName, goldcreststall_core::membership::HostVersion) {
        (super::host(name), self.host(name).version)
    }

    /// Returns the name and version of a wave for a record.
    pub fn wave(&self, name: &str) -> SeenWave {
        let wave = wave(name);
        let seen = self.state.membership.waves().get(&wave).unwrap().version;
        SeenWave { seen, wave }
    }

    /// Starts a wave with a reboot limit of one minute.
    pub fn start_wave(&mut self, name: &str, over: &str) -> Result<(), Rejection> {
        self.apply(Record::WaveStart {
            pool: pool(over),
            reboot_limit: Millis(60_000),
            wave: wave(name),
        })
    }

    /// Starts a planned stop, on a current host list.
    pub fn stop(&mut self, name: &str, by: Option<&str>) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        let wave = by.map(|by| self.wave(by));
        let list_time = self.now;
        self.apply(Record::StopStart {
            host,
            list_time,
            seen,
            wave,
        })
    }

    /// Reports that a stopping host has drained.
    pub fn drained(&mut self, name: &str) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        self.apply(Record::StopDrained { host, seen })
    }

    /// Reports a host as down.
    pub fn down(&mut self, name: &str) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        self.apply(Record::HostDown { host, seen })
    }

    /// Reports a host as up; `newer` tells whether its incarnation is a newer one.
    pub fn up(&mut self, name: &str, newer: bool) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        let incarnation = Incarnation(seen.incarnation.0 + u64::from(newer));
        self.apply(Record::HostUp {
            host,
            incarnation,
            seen,
        })
    }

    /// Starts a permanent move of a host, on a current host list.
    pub fn start_move(&mut self, name: &str, to: &str) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        let list_time = self.now;
        self.apply(Record::MoveStart {
            host,
            lend: false,
            list_time,
            seen,
            to: pool(to),
        })
    }

    /// Ends the move of a host.
    pub fn finish_move(&mut self, name: &str) -> Result<(), Rejection> {
        let (host, seen) = self.seen(name);
        self.apply(Record::MoveFinish { host, seen })
    }
}

/// Returns the wave name `text`.
pub fn wave(text: &str) -> WaveName {
    WaveName::try_from(text).unwrap()
}

/// Returns a configuration with one pool.
pub fn one_pool(name: &str, min_available: u32, survive: &str) -> String {
    format!(
        "[[pools]]\nname = \"{name}\"\nmin_available = {min_available}\nsurvive = \"{survive}\"\n"
    )
}
