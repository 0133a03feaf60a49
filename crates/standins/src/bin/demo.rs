//! The whole path with separate processes: starts them, sends requests and jobs, drains and moves hosts,
//! maintains a pool, replaces an entry host, stops everything and compares what was asked, answered and run.

use {
    anyhow::{Context, bail},
    goldcreststall_core::{
        ids::{HostName, Incarnation, Millis, PoolName, RecordId},
        jobs::{JobId, JobSize},
    },
    goldcreststall_operators::{OperatorBackend, OperatorChange, WaveQuery, WaveState},
    goldcreststall_platform::hosts::HostRow,
    goldcreststall_standins::{
        client::{ClientRequest, ClientResponse},
        process::{FleetLayout, ProcessFleet},
        worker::{WorkerSettings, WorkerStandIn},
    },
    http::{Method, StatusCode},
    rustix::process::Signal,
    std::{fmt::Write, time::Duration},
    uuid::Uuid,
};

const SERVICES: [&str; 2] = ["proofs", "orders"];
const ORGANISATION: &str = "ferrandi";
/// Pool of the workers.
const WORKERS: &str = "plates";
/// Pool that lends hosts.
const SPARE: &str = "administration";
/// Requests of each kind in each round.
const ROUND: usize = 60;
const JOBS: usize = 12;
const STOP_LIMIT: Duration = Duration::from_secs(30);
const WAVE_LIMIT: Duration = Duration::from_secs(40);
const JOB_LIMIT: Duration = Duration::from_secs(20);
const LOOK_STEP: Duration = Duration::from_millis(200);
/// The lag of the list and the interval of its polls.
const LIST_PAUSE: Duration = Duration::from_millis(2_000);

/// What was sent and what came back.
#[derive(Debug, Default)]
struct DemoTable {
    jobs: Vec<(JobId, bool)>,
    rows: Vec<(ClientRequest, ClientResponse)>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("goldcreststall-demo-{}", std::process::id()));
    let mut services = SERVICES.map(ToOwned::to_owned).to_vec();
    services.push(SPARE.to_owned());
    let layout = FleetLayout {
        data_centres: 3,
        entries: 1,
        lag_ms: 500,
        relays: false,
        retention_ms: 3_600_000,
        services,
        slots: 8,
        targets: 1,
    };
    let mut fleet = ProcessFleet::start(&layout, folder.clone()).await?;
    let workers = start_workers(&mut fleet).await?;
    fleet.set_up(config(), &pool_of).await?;
    for index in 0..fleet.entries.len() {
        fleet.wait_healthy(index).await?;
    }
    tokio::time::sleep(LIST_PAUSE).await;
    let mut table = DemoTable::default();
    submit_jobs(&fleet, &mut table).await?;
    send_round(&fleet, &mut table, "first").await;
    maintain(&fleet, &mut table).await?;
    replace_entry(&mut fleet, 0).await?;
    send_round(&fleet, &mut table, "last").await;
    repeat_orders(&fleet, &mut table).await;
    wait_for_jobs(&fleet, &table).await?;
    let runs = fleet.runs().await?;
    stop(&mut fleet)?;
    drop(fleet);
    report(&table, &runs, &workers)?;
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

fn pool_of(row: &HostRow) -> String {
    let pool = row.name.as_str().split('-').next().unwrap_or_default();
    pool.to_owned()
}

fn config() -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    for service in SERVICES {
        let _ = writeln!(text, "[[pools]]\nname = \"{service}\"\nmin_available = 2");
        let _ = writeln!(
            text,
            "[[services]]\nname = \"{service}\"\npool = \"{service}\""
        );
    }
    let _ = writeln!(text, "[[pools]]\nname = \"{SPARE}\"\nmin_available = 0");
    let _ = writeln!(text, "[[pools]]\nname = \"{WORKERS}\"\nmin_available = 2");
    let _ = writeln!(text, "[[services]]\nname = \"plate\"\npool = \"{WORKERS}\"");
    let _ = writeln!(text, "[[tenants]]\nname = \"{ORGANISATION}\"");
    text
}

/// Starts three workers and lists them.
async fn start_workers(fleet: &mut ProcessFleet) -> anyhow::Result<Vec<WorkerStandIn>> {
    let mut workers = Vec::new();
    for number in 0..3 {
        let worker = WorkerStandIn::start(WorkerSettings {
            address: "127.0.0.1:0".parse()?,
            capacity: JobSize {
                accelerators: 0,
                cores_milli: 32_000,
                memory_mib: 65_536,
            },
            incarnation: Incarnation(1),
            run_time: Millis(300),
        })
        .await?;
        let mut row = fleet.targets[0].clone();
        row.name = HostName::try_from(format!("{WORKERS}-{number}"))?;
        row.worker = Some(worker.address());
        fleet.list_host(&row).await?;
        fleet.extra.push(row);
        workers.push(worker);
    }
    Ok(workers)
}

async fn submit_jobs(fleet: &ProcessFleet, table: &mut DemoTable) -> anyhow::Result<()> {
    for number in 0..JOBS {
        let id = JobId(Uuid::now_v7().as_u128());
        let idempotent = number % 2 == 0;
        let body = format!(
            "{{\"id\":\"{id}\",\"service\":\"plate\",\"tenant\":\"{ORGANISATION}\",\"pool\":\"{WORKERS}\",\
             \"cores_milli\":4000,\"memory_mib\":1024,\"deadline_ms\":3600000,\"idempotent\":{idempotent}}}"
        );
        let entry = fleet.entries[number % fleet.entries.len()].callers;
        let reply = fleet
            .client
            .call(Method::POST, entry, "/v1/jobs", body)
            .await;
        match reply {
            Ok((StatusCode::OK, _)) => table.jobs.push((id, idempotent)),
            other => bail!("job {id} was not accepted: {other:?}"),
        }
    }
    Ok(())
}

async fn wait_for_jobs(fleet: &ProcessFleet, table: &DemoTable) -> anyhow::Result<()> {
    let deadline = tokio::time::Instant::now() + JOB_LIMIT;
    let operator = fleet.operator(1).await?;
    for (id, _) in &table.jobs {
        loop {
            let report = operator.job(RecordId(id.0)).await?;
            if report.state == goldcreststall_operators::JobState::Done {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                bail!("job {id} is {:?} and not done", report.state);
            }
            tokio::time::sleep(LOOK_STEP).await;
        }
    }
    Ok(())
}

async fn send_round(fleet: &ProcessFleet, table: &mut DemoTable, round: &str) {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..ROUND {
        let entry = fleet.entries[number % fleet.entries.len()].callers;
        let proof =
            ClientRequest::idempotent("proofs", ORGANISATION, &format!("proof-{round}-{number}"));
        let order = ClientRequest::once("orders", ORGANISATION, &format!("order-{round}-{number}"));
        for request in [proof, order] {
            let client = fleet.client.clone();
            tasks.spawn(async move {
                let response = client.send(entry, &request).await;
                (request, response)
            });
        }
    }
    table.rows.extend(tasks.join_all().await);
}

/// Drains a host, moves another, and maintains a whole pool while requests go on.
async fn maintain(fleet: &ProcessFleet, table: &mut DemoTable) -> anyhow::Result<()> {
    let drain = OperatorChange::DrainHost {
        host: HostName::try_from("proofs-0")?,
        seen: None,
    };
    fleet.change(0, drain).await?;
    let moved = HostName::try_from(format!("{SPARE}-0"))?;
    let change = OperatorChange::MoveHost {
        host: moved.clone(),
        pool: PoolName::try_from("proofs")?,
        seen: None,
    };
    fleet.change(1, change).await?;
    let wave = OperatorChange::StartWave {
        max_stopping: None,
        pool: PoolName::try_from("orders")?,
    };
    let wave = fleet.change(2, wave).await?;
    let deadline = tokio::time::Instant::now() + WAVE_LIMIT;
    let operator = fleet.operator(0).await?;
    for round in 0.. {
        send_round(fleet, table, &format!("wave-{round}")).await;
        let waves = operator.waves(WaveQuery::default()).await?;
        let report = waves.into_iter().find(|report| report.id == wave);
        let report = report.context("the wave is not known")?;
        if report.state == WaveState::Done {
            println!("wave over orders: {} hosts maintained", report.done);
            break;
        }
        if tokio::time::Instant::now() > deadline {
            bail!("the wave is not done: {report:?}");
        }
        tokio::time::sleep(LOOK_STEP).await;
    }
    let hosts = operator
        .hosts(goldcreststall_operators::HostQuery::default())
        .await?;
    let host = hosts.into_iter().find(|host| host.name == moved);
    let host = host.context("the moved host is not known")?;
    println!(
        "host {} is {:?} in pool {}",
        host.name, host.condition, host.pool
    );
    if host.pool.as_str() != "proofs" {
        bail!("host {} was not moved", host.name);
    }
    Ok(())
}

/// Sends orders once more through another entry host, as a balancer would.
async fn repeat_orders(fleet: &ProcessFleet, table: &mut DemoTable) {
    let orders: Vec<ClientRequest> = table
        .rows
        .iter()
        .filter(|(request, response)| !request.idempotent && response.outcome() == "done")
        .map(|(request, _)| request.clone())
        .take(2 * ROUND)
        .collect();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, order) in orders.into_iter().enumerate() {
        let entry = fleet.entries[(number + 1) % fleet.entries.len()].callers;
        let client = fleet.client.clone();
        tasks.spawn(async move {
            let response = client.send(entry, &order).await;
            (order, response)
        });
    }
    table.rows.extend(tasks.join_all().await);
}

/// Stops an entry host while it works and starts a new one under its name.
async fn replace_entry(fleet: &mut ProcessFleet, index: usize) -> anyhow::Result<()> {
    if let Some(mut process) = fleet.entries[index].process.take() {
        process.signal(Signal::TERM);
        process
            .wait(STOP_LIMIT)
            .context("an entry host did not stop")?;
    }
    fleet.start_entry(index)?;
    fleet.wait_healthy(index).await?;
    tokio::time::sleep(LIST_PAUSE).await;
    Ok(())
}

fn stop(fleet: &mut ProcessFleet) -> anyhow::Result<()> {
    for entry in &mut fleet.entries {
        let Some(mut process) = entry.process.take() else {
            continue;
        };
        process.signal(Signal::TERM);
        let status = process
            .wait(STOP_LIMIT)
            .context("an entry host did not stop")?;
        if !status.success() {
            bail!("an entry host ended with {status}");
        }
    }
    Ok(())
}

fn report(
    table: &DemoTable,
    runs: &[(String, u32)],
    workers: &[WorkerStandIn],
) -> anyhow::Result<()> {
    println!(
        "{:<8} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6}",
        "service", "asked", "done", "not-run", "unknown", "run", "wrong"
    );
    let mut wrong = 0;
    for service in SERVICES {
        wrong += report_service(table, runs, service);
    }
    wrong += report_jobs(table, workers);
    if wrong > 0 {
        bail!("{wrong} answers do not agree with what was run");
    }
    println!("all counts agree");
    Ok(())
}

fn report_jobs(table: &DemoTable, workers: &[WorkerStandIn]) -> usize {
    let starts = |job: JobId| workers.iter().map(|worker| worker.starts(job)).sum::<u32>();
    let total: u32 = table.jobs.iter().map(|(job, _)| starts(*job)).sum();
    let wrong = table
        .jobs
        .iter()
        .filter(|(job, idempotent)| starts(*job) == 0 || (!idempotent && starts(*job) > 1))
        .count();
    let count = table.jobs.len();
    println!(
        "{:<8} {count:>6} {count:>6} {:>8} {:>8} {total:>6} {wrong:>6}",
        "jobs", 0, 0
    );
    wrong
}

fn report_service(table: &DemoTable, runs: &[(String, u32)], service: &str) -> usize {
    let rows: Vec<_> = table
        .rows
        .iter()
        .filter(|(request, _)| request.service == service)
        .collect();
    let count = |outcome: &str| {
        let matching = rows
            .iter()
            .filter(|(_, response)| response.outcome() == outcome);
        matching.count()
    };
    let run = |work: &str| {
        let found = runs.iter().find(|(id, _)| id == work);
        found.map_or(0, |(_, count)| *count)
    };
    let mut works: Vec<&str> = rows
        .iter()
        .map(|(request, _)| request.work.as_str())
        .collect();
    works.sort_unstable();
    works.dedup();
    let total: u32 = works.iter().map(|work| run(work)).sum();
    let wrong = works
        .iter()
        .filter(|work| disagrees(&rows, work, run(work)))
        .count();
    println!(
        "{service:<8} {:>6} {:>6} {:>8} {:>8} {total:>6} {wrong:>6}",
        rows.len(),
        count("done"),
        count("not-run"),
        count("unknown")
    );
    wrong
}

/// Tells whether the answers to one piece of work contradict the number of its runs.
fn disagrees(rows: &[&(ClientRequest, ClientResponse)], work: &str, runs: u32) -> bool {
    let of_work: Vec<_> = rows
        .iter()
        .filter(|(request, _)| request.work == work)
        .collect();
    let done = of_work
        .iter()
        .filter(|(_, response)| response.outcome() == "done")
        .count();
    let not_run = of_work
        .iter()
        .all(|(_, response)| response.outcome() == "not-run");
    let once = of_work.iter().any(|(request, _)| !request.idempotent);
    let foreign = of_work.iter().any(|(request, response)| match response {
        ClientResponse::Whole {
            outcome,
            body,
            work,
            ..
        } if outcome == "done" => *body != request.body || *work != request.work,
        _ => false,
    });
    (runs as usize) < done || (not_run && runs > 0) || (once && runs > 1) || foreign
}
