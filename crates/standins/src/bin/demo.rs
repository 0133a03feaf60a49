//! End-to-end demo with separate processes: starts a fleet, sends requests and jobs, drains and moves hosts, runs a
//! maintenance wave over a pool, replaces an entry host, stops the fleet, and compares the requests and their
//! responses with the counted runs.

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
const WORKER_POOL: &str = "plates";
/// Pool from which a host is moved to another pool.
const SPARE_POOL: &str = "administration";
/// Applies to each of the two services.
const REQUESTS_PER_ROUND: usize = 60;
const JOB_COUNT: usize = 12;
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const WAVE_TIMEOUT: Duration = Duration::from_secs(40);
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Covers the lag of the host list and the interval at which entry hosts poll it.
const LIST_REFRESH_DELAY: Duration = Duration::from_millis(2_000);

/// What was sent, and the response to each request.
#[derive(Debug, Default)]
struct DemoResults {
    jobs: Vec<(JobId, bool)>,
    exchanges: Vec<(ClientRequest, ClientResponse)>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let log_directory =
        std::env::temp_dir().join(format!("goldcreststall-demo-{}", std::process::id()));
    let mut services = SERVICES.map(ToOwned::to_owned).to_vec();
    services.push(SPARE_POOL.to_owned());
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
    let mut fleet = ProcessFleet::start(&layout, log_directory.clone()).await?;
    let workers = start_workers(&mut fleet).await?;
    fleet.set_up(config(), &pool_of).await?;
    for index in 0..fleet.entries.len() {
        fleet.wait_until_healthy(index).await?;
    }
    tokio::time::sleep(LIST_REFRESH_DELAY).await;
    let mut results = DemoResults::default();
    submit_jobs(&fleet, &mut results).await?;
    send_round(&fleet, &mut results, "first").await;
    run_maintenance(&fleet, &mut results).await?;
    replace_entry(&mut fleet, 0).await?;
    send_round(&fleet, &mut results, "last").await;
    repeat_orders(&fleet, &mut results).await;
    wait_until_jobs_done(&fleet, &results).await?;
    let runs = fleet.runs().await?;
    stop_entries(&mut fleet)?;
    drop(fleet);
    report(&results, &runs, &workers)?;
    std::fs::remove_dir_all(log_directory)?;
    Ok(())
}

fn pool_of(row: &HostRow) -> String {
    let pool = row.name.as_str().split('-').next().unwrap_or_default();
    pool.to_owned()
}

fn config() -> String {
    let mut document = String::new();
    // Writing to a string cannot fail.
    for service in SERVICES {
        let _ = writeln!(
            document,
            "[[pools]]\nname = \"{service}\"\nmin_available = 2"
        );
        let _ = writeln!(
            document,
            "[[services]]\nname = \"{service}\"\npool = \"{service}\""
        );
    }
    let _ = writeln!(
        document,
        "[[pools]]\nname = \"{SPARE_POOL}\"\nmin_available = 0"
    );
    let _ = writeln!(
        document,
        "[[pools]]\nname = \"{WORKER_POOL}\"\nmin_available = 2"
    );
    let _ = writeln!(
        document,
        "[[services]]\nname = \"plate\"\npool = \"{WORKER_POOL}\""
    );
    let _ = writeln!(document, "[[tenants]]\nname = \"{ORGANISATION}\"");
    document
}

/// Starts three workers and adds them to the host list.
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
        row.name = HostName::try_from(format!("{WORKER_POOL}-{number}"))?;
        row.worker = Some(worker.address());
        fleet.list_host(&row).await?;
        fleet.extra.push(row);
        workers.push(worker);
    }
    Ok(workers)
}

async fn submit_jobs(fleet: &ProcessFleet, results: &mut DemoResults) -> anyhow::Result<()> {
    for number in 0..JOB_COUNT {
        let id = JobId(Uuid::now_v7().as_u128());
        let idempotent = number % 2 == 0;
        let body = format!(
            "{{\"id\":\"{id}\",\"service\":\"plate\",\"tenant\":\"{ORGANISATION}\",\"pool\":\"{WORKER_POOL}\",\
             \"cores_milli\":4000,\"memory_mib\":1024,\"deadline_ms\":3600000,\"idempotent\":{idempotent}}}"
        );
        let entry = fleet.entries[number % fleet.entries.len()].callers;
        let response = fleet
            .client
            .call(Method::POST, entry, "/v1/jobs", body)
            .await;
        match response {
            Ok((StatusCode::OK, _)) => results.jobs.push((id, idempotent)),
            other => bail!("job {id} was not accepted: {other:?}"),
        }
    }
    Ok(())
}

async fn wait_until_jobs_done(fleet: &ProcessFleet, results: &DemoResults) -> anyhow::Result<()> {
    let deadline = tokio::time::Instant::now() + JOB_TIMEOUT;
    let operator = fleet.operator(1).await?;
    for (id, _) in &results.jobs {
        loop {
            let report = operator.job(RecordId(id.0)).await?;
            if report.state == goldcreststall_operators::JobState::Done {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                bail!("job {id} is {:?} and not done", report.state);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn send_round(fleet: &ProcessFleet, results: &mut DemoResults, round: &str) {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..REQUESTS_PER_ROUND {
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
    results.exchanges.extend(tasks.join_all().await);
}

/// Drains a host, moves another, and runs a maintenance wave over a pool while requests are sent.
async fn run_maintenance(fleet: &ProcessFleet, results: &mut DemoResults) -> anyhow::Result<()> {
    let drain = OperatorChange::DrainHost {
        host: HostName::try_from("proofs-0")?,
        seen: None,
    };
    fleet.change(0, drain).await?;
    let moved = HostName::try_from(format!("{SPARE_POOL}-0"))?;
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
    let deadline = tokio::time::Instant::now() + WAVE_TIMEOUT;
    let operator = fleet.operator(0).await?;
    for round in 0.. {
        send_round(fleet, results, &format!("wave-{round}")).await;
        let waves = operator.waves(WaveQuery::default()).await?;
        let report = waves.into_iter().find(|report| report.id == wave);
        let report = report.context("the wave is not listed")?;
        if report.state == WaveState::Done {
            println!("wave over orders: {} hosts maintained", report.done);
            break;
        }
        if tokio::time::Instant::now() > deadline {
            bail!("the wave is not done: {report:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let hosts = operator
        .hosts(goldcreststall_operators::HostQuery::default())
        .await?;
    let host = hosts.into_iter().find(|host| host.name == moved);
    let host = host.context("the moved host is not listed")?;
    println!(
        "host {} is {:?} in pool {}",
        host.name, host.condition, host.pool
    );
    if host.pool.as_str() != "proofs" {
        bail!("host {} was not moved", host.name);
    }
    Ok(())
}

/// Sends completed `orders` requests again through another entry host, as a load balancer would.
async fn repeat_orders(fleet: &ProcessFleet, results: &mut DemoResults) {
    let orders: Vec<ClientRequest> = results
        .exchanges
        .iter()
        .filter(|(request, response)| !request.idempotent && response.outcome() == "done")
        .map(|(request, _)| request.clone())
        .take(2 * REQUESTS_PER_ROUND)
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
    results.exchanges.extend(tasks.join_all().await);
}

/// Stops a running entry host and starts a new one with the same name.
async fn replace_entry(fleet: &mut ProcessFleet, index: usize) -> anyhow::Result<()> {
    if let Some(mut process) = fleet.entries[index].process.take() {
        process.signal(Signal::TERM);
        process
            .wait(STOP_TIMEOUT)
            .context("an entry host did not stop")?;
    }
    fleet.start_entry(index)?;
    fleet.wait_until_healthy(index).await?;
    tokio::time::sleep(LIST_REFRESH_DELAY).await;
    Ok(())
}

fn stop_entries(fleet: &mut ProcessFleet) -> anyhow::Result<()> {
    for entry in &mut fleet.entries {
        let Some(mut process) = entry.process.take() else {
            continue;
        };
        process.signal(Signal::TERM);
        let status = process
            .wait(STOP_TIMEOUT)
            .context("an entry host did not stop")?;
        if !status.success() {
            bail!("an entry host ended with {status}");
        }
    }
    Ok(())
}

fn report(
    results: &DemoResults,
    runs: &[(String, u32)],
    workers: &[WorkerStandIn],
) -> anyhow::Result<()> {
    println!(
        "{:<8} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6}",
        "service", "asked", "done", "not-run", "unknown", "run", "wrong"
    );
    let mut wrong = 0;
    for service in SERVICES {
        wrong += report_service(results, runs, service);
    }
    wrong += report_jobs(results, workers);
    if wrong > 0 {
        bail!("{wrong} responses do not match the counted runs");
    }
    println!("all counts agree");
    Ok(())
}

fn report_jobs(results: &DemoResults, workers: &[WorkerStandIn]) -> usize {
    let starts = |job: JobId| workers.iter().map(|worker| worker.starts(job)).sum::<u32>();
    let total_runs: u32 = results.jobs.iter().map(|(job, _)| starts(*job)).sum();
    let wrong = results
        .jobs
        .iter()
        .filter(|(job, idempotent)| starts(*job) == 0 || (!idempotent && starts(*job) > 1))
        .count();
    let count = results.jobs.len();
    println!(
        "{:<8} {count:>6} {count:>6} {:>8} {:>8} {total_runs:>6} {wrong:>6}",
        "jobs", 0, 0
    );
    wrong
}

fn report_service(results: &DemoResults, runs: &[(String, u32)], service: &str) -> usize {
    let exchanges: Vec<_> = results
        .exchanges
        .iter()
        .filter(|(request, _)| request.service == service)
        .collect();
    let count = |outcome: &str| {
        let matching = exchanges
            .iter()
            .filter(|(_, response)| response.outcome() == outcome);
        matching.count()
    };
    let runs_of = |work_id: &str| {
        let found = runs.iter().find(|(id, _)| id == work_id);
        found.map_or(0, |(_, count)| *count)
    };
    let mut work_ids: Vec<&str> = exchanges
        .iter()
        .map(|(request, _)| request.work_id.as_str())
        .collect();
    work_ids.sort_unstable();
    work_ids.dedup();
    let total_runs: u32 = work_ids.iter().map(|work_id| runs_of(work_id)).sum();
    let wrong = work_ids
        .iter()
        .filter(|work_id| counts_disagree(&exchanges, work_id, runs_of(work_id)))
        .count();
    println!(
        "{service:<8} {:>6} {:>6} {:>8} {:>8} {total_runs:>6} {wrong:>6}",
        exchanges.len(),
        count("done"),
        count("not-run"),
        count("unknown")
    );
    wrong
}

/// Returns whether the responses to the requests with one work ID contradict the number of its runs.
fn counts_disagree(
    exchanges: &[&(ClientRequest, ClientResponse)],
    work_id: &str,
    runs: u32,
) -> bool {
    let attempts: Vec<_> = exchanges
        .iter()
        .filter(|(request, _)| request.work_id == work_id)
        .collect();
    let done = attempts
        .iter()
        .filter(|(_, response)| response.outcome() == "done")
        .count();
    let not_run = attempts
        .iter()
        .all(|(_, response)| response.outcome() == "not-run");
    let at_most_once = attempts.iter().any(|(request, _)| !request.idempotent);
    let mismatched = attempts.iter().any(|(request, response)| match response {
        ClientResponse::Complete {
            outcome,
            body,
            work_id,
            ..
        } if outcome == "done" => *body != request.body || *work_id != request.work_id,
        _ => false,
    });
    (runs as usize) < done || (not_run && runs > 0) || (at_most_once && runs > 1) || mismatched
}
