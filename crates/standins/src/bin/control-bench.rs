//! Benchmark: processor time and memory of idle entry hosts, at several fleet sizes.

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

/// Numbers of hosts, pools and organisations of each fleet.
const FLEET_SIZES: [(usize, usize, usize); 3] = [(350, 12, 35), (700, 24, 70), (1_400, 48, 140)];
const ENTRY_COUNT: usize = 3;
const SETTLE_DURATION: Duration = Duration::from_secs(6);
const MEASURE_DURATION: Duration = Duration::from_secs(10);
const RECORDS_PER_LOG_ENTRY: usize = 100;
/// Unit of the times in `/proc/PID/stat`; Linux reports them to user space in 1/100 s.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("| hosts | pools | tenants | entry host | core, % | memory, MiB |");
    println!("|---|---|---|---|---|---|");
    for (hosts, pools, organisations) in FLEET_SIZES {
        measure(hosts, pools, organisations).await?;
    }
    Ok(())
}

async fn measure(hosts: usize, pools: usize, organisations: usize) -> anyhow::Result<()> {
    let directory =
        std::env::temp_dir().join(format!("goldcreststall-control-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let (log, host_list) = (free_address()?, free_address()?);
    let arguments =
        ["--log", &log.to_string(), "--hosts", &host_list.to_string()].map(str::to_owned);
    let platform =
        ChildProcess::start("standin-platform", &arguments, &directory.join("platform"))?;
    let client = TestClient::default();
    wait_until_ok(&client, host_list, "/hosts").await?;
    for number in 0..hosts {
        let row = serde_json::to_vec(&host_row(number)?)?;
        let response = client.call(Method::POST, host_list, "/hosts", row).await;
        response.map_err(anyhow::Error::msg)?;
    }
    publish_fleet(log, hosts, pools, organisations).await?;
    let entries = start_entries(log, host_list, &directory)?;
    for (_, callers) in &entries {
        wait_until_ok(&client, *callers, "/health").await?;
    }
    tokio::time::sleep(SETTLE_DURATION).await;
    let before: Vec<f64> = entries
        .iter()
        .map(|(entry, _)| cpu_seconds(entry))
        .collect::<Result<_, _>>()?;
    tokio::time::sleep(MEASURE_DURATION).await;
    for (index, (entry, _)) in entries.iter().enumerate() {
        let cpu_time = cpu_seconds(entry)? - before[index];
        let cpu_percent = cpu_time / MEASURE_DURATION.as_secs_f64() * 100.0;
        let memory = memory_mib(entry)?;
        println!(
            "| {hosts} | {pools} | {organisations} | e{index} | {cpu_percent:.1} | {memory:.1} |"
        );
    }
    drop(entries);
    drop(platform);
    std::fs::remove_dir_all(directory)?;
    Ok(())
}

fn start_entries(
    log: SocketAddr,
    host_list: SocketAddr,
    directory: &Path,
) -> anyhow::Result<Vec<(ChildProcess, SocketAddr)>> {
    let mut peers = Vec::new();
    for index in 0..ENTRY_COUNT {
        peers.push((format!("e{index}"), free_address()?));
    }
    let peer_list: Vec<String> = peers
        .iter()
        .map(|(name, address)| format!("{name}={address}"))
        .collect();
    let mut entries = Vec::new();
    for (name, address) in &peers {
        let others = peer_list.iter().filter(|peer| !peer.starts_with(name));
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
            ("--hosts", host_list.to_string()),
        ];
        let arguments: Vec<String> = arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        let process =
            ChildProcess::start("goldcreststall-entry", &arguments, &directory.join(name))?;
        entries.push((process, callers));
    }
    Ok(entries)
}

async fn publish_fleet(
    log: SocketAddr,
    hosts: usize,
    pools: usize,
    organisations: usize,
) -> anyhow::Result<()> {
    let mut config_text = String::new();
    for pool in 0..pools {
        writeln!(
            config_text,
            "[[pools]]\nname = \"pool-{pool}\"\nmin_available = 1"
        )?;
        writeln!(
            config_text,
            "[[services]]\nname = \"service-{pool}\"\npool = \"pool-{pool}\""
        )?;
    }
    for organisation in 0..organisations {
        writeln!(config_text, "[[tenants]]\nname = \"tenant-{organisation}\"")?;
    }
    let mut bodies = vec![RecordBody::Config(ConfigRecord::Publish {
        base: ConfigVersion(0),
        document: config_text,
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
    for batch in records.chunks(RECORDS_PER_LOG_ENTRY) {
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

async fn wait_until_ok(client: &TestClient, address: SocketAddr, path: &str) -> anyhow::Result<()> {
    for _ in 0..1_000 {
        let response = client.call(Method::GET, address, path, "").await;
        if matches!(response, Ok((StatusCode::OK, _))) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("{address}{path} does not respond")
}

fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Returns the user and system time that a process has used so far.
fn cpu_seconds(process: &ChildProcess) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields = stat
        .rsplit(')')
        .next()
        .context("/proc/PID/stat has no fields")?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<f64>, _> = ticks.map(str::parse::<f64>).collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process.
fn memory_mib(process: &ChildProcess) -> anyhow::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kib
        .context("/proc/PID/status has no VmRSS")?
        .parse::<f64>()?
        / 1_024.0)
}
