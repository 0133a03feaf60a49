use {
    super::{FleetCheck, START, host, pool},
    goldcreststall_core::{
        audit::{AuditSubject, AuditValue, HostSummary},
        config::{ConfigRecord, ConfigVersion},
        ids::{
            DataCentre, HostName, Incarnation, LogTime, Millis, PoolName, RackName, RecordId,
            WaveName,
        },
        ledger::{
            Author, FleetState, LedgerRecord, LogEntry, LogIdentity, LogOffset, RecordBody,
            Rejection, decode_state, encode_state,
        },
        membership::{HostActivity, HostState, MembershipRecord as Record, SeenWave, WaveState},
        rollout::{RolloutInput, plan_waves},
    },
    std::collections::BTreeMap,
};

/// Hosts of the fleet at the start of a walk.
const HOST_COUNT: usize = 18;
/// Authors, each with its own copy of the state.
const AUTHOR_COUNT: usize = 3;
const POOLS: [&str; 4] = ["plates", "proofs", "spare", "absent"];
/// Latest records that are kept to be sent again.
const MAX_RETAINED_RECORDS: usize = 64;

/// One random step of a walk. The meaning of `pick` and `extra` depends on `kind`.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Selects the kind of the step.
    pub kind: u8,
    /// The author on whose view the step is based.
    pub author: u8,
    /// Selects a host, wave, rack or record.
    pub pick: u8,
    /// Selects the details.
    pub extra: u16,
}

/// Returns configuration `number` of the walk; some lack a pool and some are not valid.
pub fn document(number: u16) -> String {
    let survive = ["none", "rack", "data_centre"];
    let pool = |name: &str, min: u16, rule: u16| {
        let rule = survive[usize::from(rule % 3)];
        format!("[[pools]]\nname = \"{name}\"\nmin_available = {min}\nsurvive = \"{rule}\"\n")
    };
    let plates = pool("plates", 2 + number % 4, number / 4);
    let proofs = pool("proofs", 1 + number % 3, number / 3);
    let spare = pool("spare", 0, 0);
    match number % 7 {
        5 => format!("{plates}{spare}"),
        6 => format!("{plates}{plates}"),
        _ => format!("{plates}{proofs}{spare}"),
    }
}

/// The log, the state after all its entries, and the authors.
pub struct FleetWalk {
    /// Entries that were applied.
    pub log: Vec<LogEntry>,
    /// The state after all entries.
    pub state: FleetState,
    /// The number of accepted records.
    pub accepted: u64,
    /// The number of ignored records.
    pub ignored: u64,
    now: LogTime,
    sent: Vec<LedgerRecord>,
    last_serial: u128,
    views: Vec<FleetState>,
}

impl FleetWalk {
    /// Creates the fleet: 18 hosts over 3 data centres with 2 racks each, most of them in `plates`.
    pub fn new() -> Self {
        let state = FleetState::new(LogIdentity(7));
        let mut walk = Self {
            log: Vec::new(),
            views: vec![state.clone(); AUTHOR_COUNT],
            state,
            accepted: 0,
            ignored: 0,
            now: START,
            sent: Vec::new(),
            last_serial: 0,
        };
        walk.set_up().unwrap();
        walk
    }

    fn set_up(&mut self) -> Result<(), String> {
        let publish = ConfigRecord::Publish {
            base: self.state.config.version(),
            document: document(0),
        };
        self.append(vec![RecordBody::Config(publish)], None)?;
        for index in 0..HOST_COUNT {
            let pool = POOLS[[0, 0, 0, 1, 1, 2][index % 6]];
            let add = add_host(&host_name(index), index, 1, &super::pool(pool));
            self.append(vec![RecordBody::Membership(add)], None)?;
        }
        let state = self.state.clone();
        self.views.fill(state);
        Ok(())
    }

    /// Executes a step and checks the properties of the state.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn step(&mut self, step: Step) -> Result<(), String> {
        let author = usize::from(step.author) % AUTHOR_COUNT;
        match step.kind % 32 {
            0..=4 => self.views[author] = self.state.clone(),
            5 => self.now = self.now + Millis(u64::from(step.extra) % 25_000),
            6 => self.now = self.now - Millis(u64::from(step.extra) % 3_000),
            7 => return self.resend(step),
            8 => return self.restore(),
            9 if step.extra.is_multiple_of(3) => return self.fail_domain(step),
            14 | 15 => return self.plan(author),
            _ => {}
        }
        let view = self.views[author].clone();
        let record = match step.kind % 32 {
            0..=9 => return Ok(()),
            10 => Some(publish(&view, step)),
            11..=13 => wave_record(&view, step).map(RecordBody::Membership),
            _ => host_record(&view, step).map(RecordBody::Membership),
        };
        match record {
            Some(record) => self.append(vec![record], Some(view)).map(|_| ()),
            None => Ok(()),
        }
    }

    /// Checks that a replay of the whole log from the start reaches the same state.
    ///
    /// # Errors
    /// The offset at the end of the log, when the states differ.
    pub fn check_replay(&self) -> Result<(), String> {
        let mut state = FleetState::new(self.state.log());
        for entry in &self.log {
            state.apply(entry);
        }
        if state != self.state {
            return Err(format!(
                "the state after a replay from the start differs at {:?}",
                self.state.next()
            ));
        }
        Ok(())
    }

    /// Checks that the audit trail explains each state: the accepted changes of a subject follow each other without a
    /// gap up to its present state.
    ///
    /// # Errors
    /// The change before which another one is missing, or the host whose state differs from the end of its trail.
    pub fn check_trail(&self) -> Result<(), String> {
        let mut last: BTreeMap<AuditSubject, AuditValue> = BTreeMap::new();
        for record in self
            .state
            .audit
            .records()
            .filter(|record| record.result.is_ok())
        {
            let first = match record.subject {
                AuditSubject::Config => AuditValue::Config(ConfigVersion(0)),
                _ => AuditValue::Absent,
            };
            let before = last.get(&record.subject).unwrap_or(&first);
            if *before != record.from {
                return Err(format!(
                    "a change is missing after {before:?} and before {record:?}"
                ));
            }
            last.insert(record.subject, record.to);
        }
        for (name, host) in self.state.membership.hosts().iter() {
            let current = AuditValue::Host(HostSummary {
                condition: host.into(),
                pool: host.pool.clone(),
            });
            let trail = last.get(&AuditSubject::Host(name.clone()));
            if trail != Some(&current) {
                return Err(format!(
                    "{name} is {current:?}, but the trail ends with {trail:?}"
                ));
            }
        }
        Ok(())
    }

    /// Appends records in one entry and checks the properties.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn append(
        &mut self,
        bodies: Vec<RecordBody>,
        view: Option<FleetState>,
    ) -> Result<Vec<Result<(), Rejection>>, String> {
        let records: Vec<LedgerRecord> = bodies.into_iter().map(|body| self.record(body)).collect();
        self.sent.extend(records.iter().cloned());
        let surplus = self.sent.len().saturating_sub(MAX_RETAINED_RECORDS);
        self.sent.drain(..surplus);
        self.apply(records, view, false)
    }

    fn record(&mut self, body: RecordBody) -> LedgerRecord {
        self.last_serial += 1;
        LedgerRecord {
            author: Author("walk".to_owned()),
            body,
            id: RecordId::at(self.now, self.last_serial),
        }
    }

    fn apply(
        &mut self,
        records: Vec<LedgerRecord>,
        view: Option<FleetState>,
        repeated: bool,
    ) -> Result<Vec<Result<(), Rejection>>, String> {
        let before = FleetCheck::before(&self.state);
        let entry = LogEntry {
            offset: LogOffset(self.log.len() as u64),
            records,
            time: self.now,
        };
        let results = self.state.apply(&entry);
        let accepted = results.iter().filter(|result| result.is_ok()).count() as u64;
        self.accepted += accepted;
        self.ignored += results.len() as u64 - accepted;
        before.check(
            &self.state,
            &entry.records,
            &results,
            view.as_ref(),
            repeated,
        )?;
        self.log.push(entry);
        Ok(results)
    }

    /// Appends the records that a duty holder plans on its view.
    fn plan(&mut self, author: usize) -> Result<(), String> {
        let view = &self.views[author];
        let plan = plan_waves(RolloutInput {
            config: view.config.fleet(),
            list_time: view.time(),
            membership: &view.membership,
            now: view.time(),
        });
        let records = plan.records.into_iter().map(RecordBody::Membership);
        self.append(records.collect(), None).map(|_| ())
    }

    /// Sends a record again, as after a lost response.
    fn resend(&mut self, step: Step) -> Result<(), String> {
        let record = pick(&self.sent, step.pick).cloned();
        match record {
            Some(record) => self.apply(vec![record], None, true).map(|_| ()),
            None => Ok(()),
        }
    }

    /// Replaces the state by the one decoded from its snapshot.
    fn restore(&mut self) -> Result<(), String> {
        let restored =
            decode_state(&encode_state(&self.state)).map_err(|error| error.to_string())?;
        if restored != self.state {
            return Err("a snapshot does not restore its state".to_owned());
        }
        self.state = restored;
        Ok(())
    }

    /// Reports all hosts of a rack or data centre as down.
    fn fail_domain(&mut self, step: Step) -> Result<(), String> {
        let hosts: Vec<(&HostName, &HostState)> = self.state.membership.hosts().iter().collect();
        let Some((_, first)) = pick(&hosts, step.pick) else {
            return Ok(());
        };
        let whole_data_centre = step.extra.is_multiple_of(4);
        let lost = hosts.iter().filter(|(_, host)| {
            let in_domain = whole_data_centre || host.rack == first.rack;
            host.data_centre == first.data_centre && in_domain && host.down.is_none()
        });
        let records = lost.map(|(name, host)| {
            RecordBody::Membership(Record::HostDown {
                host: (*name).clone(),
                seen: host.version,
            })
        });
        let records = records.collect();
        self.append(records, None).map(|_| ())
    }
}

fn pick<T>(list: &[T], number: u8) -> Option<&T> {
    list.get(usize::from(number) % list.len().max(1))
}

fn host_name(index: usize) -> HostName {
    host(&format!("h{index:02}"))
}

fn wave_name(number: u16) -> WaveName {
    WaveName::try_from(format!("w{}", number % 512).as_str()).unwrap()
}

fn add_host(name: &HostName, index: usize, incarnation: u64, pool: &PoolName) -> Record {
    let data_centre = format!("dc{}", index % 3);
    let rack = format!("r{}", index / 3 % 2);
    Record::HostAdd {
        data_centre: DataCentre::try_from(data_centre.as_str()).unwrap(),
        host: name.clone(),
        incarnation: Incarnation(incarnation),
        pool: pool.clone(),
        rack: RackName::try_from(rack.as_str()).unwrap(),
    }
}

fn publish(view: &FleetState, step: Step) -> RecordBody {
    RecordBody::Config(ConfigRecord::Publish {
        base: view.config.version(),
        document: document(step.extra),
    })
}

fn wave_record(view: &FleetState, step: Step) -> Option<Record> {
    let chosen =
        pick_wave(view, step.pick, step.extra).map(|(name, wave)| (name.clone(), wave.version));
    let kind = step.kind % 32;
    match (kind, chosen) {
        (12, Some((wave, seen))) => Some(match step.extra % 4 {
            0 => Record::WavePause { seen, wave },
            1 | 2 => Record::WaveResume { seen, wave },
            _ => Record::WaveCancel { seen, wave },
        }),
        (13, Some((wave, seen))) => Some(Record::WaveFinish { seen, wave }),
        _ => Some(Record::WaveStart {
            pool: pool(POOLS[usize::from(step.extra) % POOLS.len()]),
            reboot_limit: Millis(60_000),
            wave: wave_name(step.extra),
        }),
    }
}

/// Picks a wave, in most cases an open one.
fn pick_wave(view: &FleetState, number: u8, extra: u16) -> Option<(&WaveName, &WaveState)> {
    let any = extra.is_multiple_of(7);
    let waves = view.membership.waves().iter();
    let waves: Vec<_> = waves.filter(|(_, wave)| any || wave.is_open()).collect();
    pick(&waves, number).copied()
}

/// Picks a host, in most cases one whose state allows the record, so that enough records are accepted.
fn pick_host(view: &FleetState, step: Step) -> Option<(&HostName, &HostState)> {
    let any = step.extra.is_multiple_of(7);
    let hosts = view.membership.hosts().iter();
    let fits = |host: &HostState| match step.kind % 32 {
        17..=19 => !host.is_available(),
        22..=24 => matches!(host.activity, HostActivity::Moving { .. }),
        26 => host.activity == HostActivity::Draining,
        29 | 30 => host.stop().is_some(),
        20 | 21 | 25 | 27 | 28 => host.is_available(),
        _ => true,
    };
    let hosts: Vec<_> = hosts.filter(|(_, host)| any || fits(host)).collect();
    pick(&hosts, step.pick).copied()
}

fn host_record(view: &FleetState, step: Step) -> Option<Record> {
    let (name, state) = pick_host(view, step)?;
    let (host, seen) = (name.clone(), state.version);
    let list_time = match step.extra % 8 {
        0 => view.time() - Millis(9_000),
        1 => view.time() + Millis(u64::from(step.extra) % 2_000),
        _ => view.time(),
    };
    let to = pool(POOLS[usize::from(step.extra / 8) % POOLS.len()]);
    Some(match step.kind % 32 {
        16 => Record::HostDown { host, seen },
        17..=19 => {
            let incarnation = seen.incarnation.0 + u64::from(step.extra % 4) / 2;
            let incarnation = Incarnation(incarnation);
            Record::HostUp {
                host,
                incarnation,
                seen,
            }
        }
        20 | 21 => {
            let lend = step.extra.is_multiple_of(2);
            Record::MoveStart {
                host,
                lend,
                list_time,
                seen,
                to,
            }
        }
        22 | 23 => Record::MoveFinish { host, seen },
        24 => Record::MoveCancel { host, seen },
        25 => Record::DrainStart {
            host,
            list_time,
            seen,
        },
        26 => Record::DrainEnd { host, seen },
        27 | 28 => {
            let wave = pick_wave(view, (step.extra / 16) as u8, step.extra)
                .filter(|_| !step.extra.is_multiple_of(5));
            let wave = wave.map(|(name, wave)| SeenWave {
                seen: wave.version,
                wave: name.clone(),
            });
            Record::StopStart {
                host,
                list_time,
                seen,
                wave,
            }
        }
        29 | 30 => Record::StopDrained { host, seen },
        _ if step.extra.is_multiple_of(2) => Record::HostRemove { host, seen },
        _ => {
            let index = usize::from(step.pick) % HOST_COUNT;
            add_host(&host_name(index), index, u64::from(step.extra) % 3, &to)
        }
    })
}
