//! Processor time and memory of an entry host without traffic, at several sizes of the fleet.

use {
    anyhow::{Context, bail},
    goldcreststall_core::{
        config::{ConfigRecord, ConfigVersion},
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName, RecordId},
        ledger::{Author, LedgerRecord, RecordBody, encode_records},
        membership::MembershipRecord,
    },
    goldcreststall_platform::{
        hosts::{HostRow, HostStatus},
        log::{HttpLog, LogService, LogStream},
    },
    goldcreststall_standins::{client::TestClient, process::ChildProcess},
    http::{Method, StatusCode},
    std::{
        fmt::Write,
        net::{SocketAddr, TcpListener},
        path::Path,
        time::Duration,
    },
    uuid::Uuid,
};

/// Hosts, pools and organisations of each measured fleet.
const SIZES: [(usize, usize, usize); 3] = [(350, 12, 35), (700, 24, 70), (1_400, 48, 140)];
const ENTRIES: usize = 3;
const SETTLE: Duration = Duration::from_secs(6);
const MEASURE: Duration = Duration::from_secs(10);
/// Records of hosts in one log entry.
const BATCH: usize = 100;
/// Clock ticks a second, which Linux fixes for programs.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("| hosts | pools | tenants | entry host | core, % | memory, MiB |");
    println!("|---|---|---|---|---|---|");
    for (hosts, pools, organisations) in SIZES {
        measure(hosts, pools, organisations).await?;
    }
    Ok(())
}

async fn measure(hosts: usize, pools: usize, organisations: usize) -> anyhow::Result<()> {
    let folder =
        std::env::temp_dir().join(format!("goldcreststall-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (log, list) = (free_address()?, free_address()?);
    let arguments = ["--log", &log.to_string(), "--hosts", &list.to_string()].map(str::to_owned);
    let platform = ChildProcess::start("standin-platform", &arguments, &folder.join("platform"))?;
    let client = TestClient::default();
    wait_for(&client, list, "/hosts").await?;
    for number in 0..hosts {
        let row = serde_json::to_vec(&host_row(number)?)?;
        let reply = client.call(Method::POST, list, "/hosts", row).await;
        reply.map_err(anyhow::Error::msg)?;
    }
    publish(log, hosts, pools, organisations).await?;
    let entries = start_entries(log, list, &folder)?;
    for (_, callers) in &entries {
        wait_for(&client, *callers, "/health").await?;
    }
    tokio::time::sleep(SETTLE).await;
    let before: Vec<f64> = entries
        .iter()
        .map(|(entry, _)| cpu_seconds(entry))
        .collect::<Result<_, _>>()?;
    tokio::time::sleep(MEASURE).await;
    for (index, (entry, _)) in entries.iter().enumerate() {
        let used = cpu_seconds(entry)? - before[index];
        let share = used / MEASURE.as_secs_f64() * 100.0;
        let memory = memory_mib(entry)?;
        println!("| {hosts} | {pools} | {organisations} | e{index} | {share:.1} | {memory:.1} |");
    }
    drop(entries);
    drop(platform);
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

fn start_entries(
    log: SocketAddr,
    list: SocketAddr,
    folder: &Path,
) -> anyhow::Result<Vec<(ChildProcess, SocketAddr)>> {
    let mut peers = Vec::new();
    for index in 0..ENTRIES {
        peers.push((format!("e{index}"), free_address()?));
    }
    let all: Vec<String> = peers
        .iter()
        .map(|(name, address)| format!("{name}={address}"))
        .collect();
    let mut entries = Vec::new();
    for (name, address) in &peers {
        let others = all.iter().filter(|peer| !peer.starts_with(name));
        let others: Vec<&str> = others.map(String::as_str).collect();
        let callers = free_address()?;
        let arguments = [
            ("--name", name.clone()),
            ("--data-centre", "dc0".to_owned()),
            ("--callers", callers.to_string()),
            ("--operators", free_address()?.to_string()),
            ("--listen-peers", address.to_string()),
            ("--peers", others.join(",")),
            ("--log", log.to_string()),
            ("--hosts", list.to_string()),
        ];
        let arguments: Vec<String> = arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        let process = ChildProcess::start("goldcreststall-entry", &arguments, &folder.join(name))?;
        entries.push((process, callers));
    }
    Ok(entries)
}

async fn publish(
    log: SocketAddr,
    hosts: usize,
    pools: usize,
    organisations: usize,
) -> anyhow::Result<()> {
    let mut text = String::new();
    for pool in 0..pools {
        writeln!(text, "[[pools]]\nname = \"pool-{pool}\"\nmin_available = 1")?;
        writeln!(
            text,
            "[[services]]\nname = \"service-{pool}\"\npool = \"pool-{pool}\""
        )?;
    }
    for organisation in 0..organisations {
        writeln!(text, "[[tenants]]\nname = \"tenant-{organisation}\"")?;
    }
    let mut bodies = vec![RecordBody::Config(ConfigRecord::Publish {
        base: ConfigVersion(0),
        document: text,
    })];
    for number in 0..hosts {
        let row = host_row(number)?;
        bodies.push(RecordBody::Membership(MembershipRecord::HostAdd {
            data_centre: row.data_centre,
            host: row.name,
            incarnation: row.incarnation,
            pool: PoolName::try_from(format!("pool-{}", number % pools))?,
            rack: row.rack,
        }));
    }
    let records: Vec<LedgerRecord> = bodies
        .into_iter()
        .map(|body| LedgerRecord {
            author: Author("operator:bench".to_owned()),
            body,
            id: RecordId(Uuid::now_v7().as_u128()),
        })
        .collect();
    let service = HttpLog::new(log);
    for batch in records.chunks(BATCH) {
        let payload = encode_records(batch).into();
        service.append(LogStream::Ledger, payload).await?;
    }
    Ok(())
}

fn host_row(number: usize) -> anyhow::Result<HostRow> {
    Ok(HostRow {
        accelerators: 1,
        address: "127.0.0.1:1".parse()?,
        connections: 64,
        cores: 32,
        data_centre: DataCentre::try_from(format!("dc{}", number % 6))?,
        incarnation: Incarnation(1),
        memory_mib: 65_536,
        name: HostName::try_from(format!("worker-{number:05}"))?,
        rack: RackName::try_from(format!("rack{}", number / 4))?,
        slots: 8,
        status: HostStatus::Live,
        worker: None,
    })
}

async fn wait_for(client: &TestClient, address: SocketAddr, path: &str) -> anyhow::Result<()> {
    for _ in 0..1_000 {
        let reply = client.call(Method::GET, address, path, "").await;
        if matches!(reply, Ok((StatusCode::OK, _))) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("{address}{path} does not answer")
}

fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Returns the processor time of a process so far.
fn cpu_seconds(process: &ChildProcess) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields = stat.rsplit(')').next().context("no fields")?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<f64>, _> = ticks.map(str::parse::<f64>).collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process.
fn memory_mib(process: &ChildProcess) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kib.context("no VmRSS")?.parse::<f64>()? / 1_024.0)
}
