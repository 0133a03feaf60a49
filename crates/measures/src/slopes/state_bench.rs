use {
    cap::Cap,
    goldcreststall_core::{
        claims::ClaimRecord,
        config::{ConfigRecord, ConfigVersion},
        ids::{
            DataCentre, EntryId, EntryName, HostName, Incarnation, LogTime, Millis,
            OrganisationName, PoolName, RackName, RecordId, ServiceName,
        },
        jobs::{JobId, JobRecord, JobSize, JobSpec},
        ledger::{
            Author, FleetState, LedgerRecord, LogEntry, LogIdentity, LogOffset, RecordBody,
            decode_records, decode_state, encode_records, encode_state,
        },
        membership::{HostVersion, MembershipRecord},
        traffic::Urgency,
    },
    std::{alloc::System, fmt::Write, hint::black_box, time::Instant},
};

/// Counts allocated memory, to measure the heap bytes per row of state.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const START: LogTime = LogTime(1_800_000_000_000);
/// Number of records in one log entry, as in an append under load.
const RECORDS_PER_ENTRY: usize = 16;
const POOLS: usize = 48;
const ORGANISATIONS: usize = 140;
/// Numbers of hosts at which each cost is measured.
const HOST_COUNTS: [usize; 3] = [350, 700, 1_400];
const CLAIMS_PER_HOST: usize = 10;
/// Number of unfinished jobs per host.
const JOBS_PER_HOST: usize = 5;

/// Builds log entries from records.
struct LogEntryBuilder {
    author: Author,
    entries: Vec<LogEntry>,
    next_offset: u64,
    last_number: u128,
}

impl LogEntryBuilder {
    fn new(next_offset: u64) -> Self {
        Self {
            author: Author("entry:e1".to_owned()),
            entries: Vec::new(),
            next_offset,
            last_number: u128::from(next_offset) << 32,
        }
    }

    fn push(&mut self, bodies: impl Iterator<Item = RecordBody>) {
        let bodies: Vec<RecordBody> = bodies.collect();
        for batch in bodies.chunks(RECORDS_PER_ENTRY) {
            let time = START + Millis(self.next_offset);
            let records = batch.iter().map(|body| {
                self.last_number += 1;
                LedgerRecord {
                    author: self.author.clone(),
                    body: body.clone(),
                    id: RecordId::at(time, self.last_number),
                }
            });
            let records = records.collect();
            self.entries.push(LogEntry {
                offset: LogOffset(self.next_offset),
                records,
                time,
            });
            self.next_offset += 1;
        }
    }
}

/// Cost of the rows of one kind: number of accepted records, and means per record.
struct RowCost {
    accepted: usize,
    apply_ns: f64,
    heap_bytes: f64,
    log_bytes: f64,
    snapshot_bytes: f64,
}

/// Prints the cost per record and the bytes per row of state, and the cost of a snapshot, at three fleet sizes.
///
/// # Errors
/// A configuration, name or encoding is invalid, or the state rejected a record.
pub fn print_state() -> anyhow::Result<()> {
    println!("\n### Cost of the folded state\n");
    println!(
        "| rows | number | decode and fold, ns/record | log, B/record | heap, B/row | snapshot, B/row |"
    );
    println!("|---|---|---|---|---|---|");
    for hosts in HOST_COUNTS {
        print_row_costs(hosts)?;
    }
    println!("\n### Snapshot\n");
    println!("| hosts | jobs | claims | bytes | encode, ms | decode, ms | heap, MiB |");
    println!("|---|---|---|---|---|---|---|");
    for hosts in HOST_COUNTS {
        print_snapshot(hosts)?;
    }
    Ok(())
}

fn print_row_costs(hosts: usize) -> anyhow::Result<()> {
    let mut state = configured_state("none")?;
    print_row("hosts", &mut state, host_records(hosts)?)?;
    print_row("host changes", &mut state, host_down_records(hosts)?)?;
    print_row("jobs", &mut state, job_records(hosts * JOBS_PER_HOST)?)?;
    print_row(
        "claims",
        &mut state,
        claim_records(hosts * CLAIMS_PER_HOST)?,
    )?;
    // The stops need hosts that are up. With a survive rule, the check of the budget is most expensive.
    let mut state = configured_state("rack")?;
    measure_cost(&mut state, host_records(hosts)?)?;
    print_row("stops", &mut state, stop_records(hosts)?)
}

fn print_row(name: &str, state: &mut FleetState, bodies: Vec<RecordBody>) -> anyhow::Result<()> {
    let count = bodies.len();
    let cost = measure_cost(state, bodies)?;
    anyhow::ensure!(
        cost.accepted == count,
        "{name}: {} of {count} accepted",
        cost.accepted
    );
    println!(
        "| {name} | {count} | {:.0} | {:.0} | {:.0} | {:.0} |",
        cost.apply_ns, cost.log_bytes, cost.heap_bytes, cost.snapshot_bytes
    );
    Ok(())
}

fn measure_cost(state: &mut FleetState, bodies: Vec<RecordBody>) -> anyhow::Result<RowCost> {
    let count = bodies.len() as f64;
    let mut builder = LogEntryBuilder::new(state.next().0);
    builder.push(bodies.into_iter());
    let encoded: Vec<Vec<u8>> = builder
        .entries
        .iter()
        .map(|entry| encode_records(&entry.records))
        .collect();
    let log_bytes: usize = encoded.iter().map(Vec::len).sum();
    let snapshot_before = encode_state(state).len();
    let heap_before = ALLOCATOR.allocated();
    let started = Instant::now();
    let mut accepted = 0;
    for (entry, bytes) in builder.entries.iter().zip(&encoded) {
        let entry = LogEntry {
            offset: entry.offset,
            records: decode_records(bytes)?,
            time: entry.time,
        };
        let results = state.apply(&entry);
        accepted += results.iter().filter(|result| result.is_ok()).count();
    }
    let elapsed = started.elapsed().as_nanos() as f64;
    let heap_bytes = ALLOCATOR.allocated().saturating_sub(heap_before) as f64;
    let snapshot_bytes = encode_state(state).len().saturating_sub(snapshot_before) as f64;
    Ok(RowCost {
        accepted,
        apply_ns: elapsed / count,
        heap_bytes: heap_bytes / count,
        log_bytes: log_bytes as f64 / count,
        snapshot_bytes: snapshot_bytes / count,
    })
}

fn print_snapshot(hosts: usize) -> anyhow::Result<()> {
    let heap_before = ALLOCATOR.allocated();
    let mut state = configured_state("none")?;
    let (jobs, claims) = (hosts * JOBS_PER_HOST, hosts * CLAIMS_PER_HOST);
    measure_cost(&mut state, host_records(hosts)?)?;
    measure_cost(&mut state, job_records(jobs)?)?;
    measure_cost(&mut state, claim_records(claims)?)?;
    let heap_bytes = ALLOCATOR.allocated().saturating_sub(heap_before) as f64 / f64::from(1 << 20);
    let started = Instant::now();
    let bytes = encode_state(&state);
    let encode = started.elapsed();
    let started = Instant::now();
    black_box(decode_state(&bytes)?);
    let decode = started.elapsed();
    println!(
        "| {hosts} | {jobs} | {claims} | {} | {:.1} | {:.1} | {heap_bytes:.1} |",
        bytes.len(),
        encode.as_secs_f64() * 1e3,
        decode.as_secs_f64() * 1e3
    );
    Ok(())
}

fn configured_state(survive: &str) -> anyhow::Result<FleetState> {
    let mut text = String::new();
    for pool in 0..POOLS {
        writeln!(
            text,
            "[[pools]]\nname = \"pool-{pool}\"\nmin_available = 1\nsurvive = \"{survive}\""
        )?;
        writeln!(
            text,
            "[[services]]\nname = \"service-{pool}\"\npool = \"pool-{pool}\""
        )?;
    }
    for organisation in 0..ORGANISATIONS {
        writeln!(
            text,
            "[[tenants]]\nname = \"tenant-{organisation}\"\nmax_jobs = 100000"
        )?;
    }
    let publish = ConfigRecord::Publish {
        base: ConfigVersion(0),
        document: text,
    };
    let mut state = FleetState::new(LogIdentity(1));
    let mut builder = LogEntryBuilder::new(0);
    builder.push(std::iter::once(RecordBody::Config(publish)));
    for entry in &builder.entries {
        for result in state.apply(entry) {
            result?;
        }
    }
    Ok(state)
}

fn host_name(number: usize) -> anyhow::Result<HostName> {
    Ok(HostName::try_from(format!("worker-{number:05}"))?)
}

fn host_records(count: usize) -> anyhow::Result<Vec<RecordBody>> {
    let records = (0..count).map(|number| {
        let record = MembershipRecord::HostAdd {
            data_centre: DataCentre::try_from(format!("dc{}", number % 6))?,
            host: host_name(number)?,
            incarnation: Incarnation(1),
            pool: PoolName::try_from(format!("pool-{}", number % POOLS))?,
            rack: RackName::try_from(format!("rack{}", number / 4))?,
        };
        Ok(RecordBody::Membership(record))
    });
    records.collect()
}

/// Returns records of hosts that go down; each is one membership change with its audit record.
fn host_down_records(count: usize) -> anyhow::Result<Vec<RecordBody>> {
    let records = (0..count).map(|number| {
        let record = MembershipRecord::HostDown {
            host: host_name(number)?,
            seen: HostVersion {
                change: number as u64 + 1,
                incarnation: Incarnation(1),
            },
        };
        Ok(RecordBody::Membership(record))
    });
    records.collect()
}

/// Returns records that stop all hosts except the two of each pool that its budget keeps, in different racks.
fn stop_records(count: usize) -> anyhow::Result<Vec<RecordBody>> {
    let records = (0..count.saturating_sub(2 * POOLS)).map(|number| {
        let record = MembershipRecord::StopStart {
            host: host_name(number)?,
            list_time: START,
            seen: HostVersion {
                change: number as u64 + 1,
                incarnation: Incarnation(1),
            },
            wave: None,
        };
        Ok(RecordBody::Membership(record))
    });
    records.collect()
}

fn job_records(count: usize) -> anyhow::Result<Vec<RecordBody>> {
    let records = (0..count).map(|number| {
        let spec = JobSpec {
            checkpoints: false,
            deadline: START + Millis(86_400_000),
            idempotent: number % 2 == 0,
            payload: "object-store/plates/2027-01-15/00012345".to_owned(),
            pool: PoolName::try_from(format!("pool-{}", number % POOLS))?,
            run_time: Millis(60_000),
            service: ServiceName::try_from(format!("service-{}", number % POOLS))?,
            size: JobSize {
                accelerators: 0,
                cores_milli: 2_000,
                memory_mib: 4_096,
            },
            organisation: OrganisationName::try_from(format!("tenant-{}", number % ORGANISATIONS))?,
            urgency: Urgency::Overnight,
        };
        let job = JobId::at(START, number as u128);
        Ok(RecordBody::Job(JobRecord::Submit { job, spec }))
    });
    records.collect()
}

fn claim_records(count: usize) -> anyhow::Result<Vec<RecordBody>> {
    let holder = EntryId {
        incarnation: Incarnation(1),
        name: EntryName::try_from("entry-01")?,
    };
    let records = (0..count).map(|number| {
        RecordBody::Claim(ClaimRecord::Claim {
            holder: holder.clone(),
            key: RecordId::at(START + Millis(number as u64), number as u128).0,
        })
    });
    Ok(records.collect())
}
