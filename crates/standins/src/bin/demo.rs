//! The whole path with separate processes: starts them, sends requests, replaces an entry host, stops
//! everything and compares what was asked, answered and run.

use {
    anyhow::{Context, bail},
    goldcreststall_core::{
        config::{ConfigRecord, ConfigVersion},
        ids::{PoolName, RecordId},
        ledger::{Author, LedgerRecord, RecordBody, encode_records},
        membership::MembershipRecord,
    },
    goldcreststall_platform::log::{HttpLog, LogService, LogStream},
    goldcreststall_standins::{
        client::{ClientAnswer, ClientRequest},
        process::{FleetLayout, ProcessFleet},
    },
    rustix::process::Signal,
    std::{fmt::Write, time::Duration},
    uuid::Uuid,
};

const SERVICES: [&str; 2] = ["proofs", "orders"];
const TENANT: &str = "ferrandi";
/// Requests of each kind in each round.
const ROUND: usize = 60;
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// What was sent and what came back.
#[derive(Debug, Default)]
struct DemoTable {
    rows: Vec<(ClientRequest, ClientAnswer)>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("goldcreststall-demo-{}", std::process::id()));
    let layout = FleetLayout {
        data_centres: 3,
        lag_ms: 500,
        retention_ms: 3_600_000,
        services: SERVICES.map(ToOwned::to_owned).to_vec(),
        targets: 1,
    };
    let mut fleet = ProcessFleet::start(&layout, folder.clone()).await?;
    publish(&fleet).await?;
    for index in 0..fleet.entries.len() {
        fleet.wait_healthy(index).await?;
    }
    // The targets are served once the lagging list shows them.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let mut table = DemoTable::default();
    send_round(&fleet, &mut table, "first").await;
    replace_entry(&mut fleet, 0).await?;
    send_round(&fleet, &mut table, "second").await;
    repeat_orders(&fleet, &mut table).await;
    let runs = fleet.runs().await?;
    stop(&mut fleet)?;
    drop(fleet);
    report(&table, &runs)?;
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

fn config() -> String {
    let mut text = String::new();
    for service in SERVICES {
        // Writing to a string does not fail.
        let _ = writeln!(text, "[[pools]]\nname = \"{service}\"\nmin_available = 2");
        let _ = writeln!(
            text,
            "[[services]]\nname = \"{service}\"\npool = \"{service}\""
        );
    }
    let _ = writeln!(text, "[[tenants]]\nname = \"{TENANT}\"");
    text
}

async fn publish(fleet: &ProcessFleet) -> anyhow::Result<()> {
    let record = |body| LedgerRecord {
        author: Author("operator:demo".to_owned()),
        body,
        id: RecordId(Uuid::now_v7().as_u128()),
    };
    let mut records = vec![record(RecordBody::Config(ConfigRecord::Publish {
        base: ConfigVersion(0),
        document: config(),
    }))];
    for row in &fleet.targets {
        let pool = row.name.as_str().split('-').next().unwrap_or_default();
        records.push(record(RecordBody::Membership(MembershipRecord::HostAdd {
            data_centre: row.data_centre.clone(),
            host: row.name.clone(),
            incarnation: row.incarnation,
            pool: PoolName::try_from(pool)?,
            rack: row.rack.clone(),
        })));
    }
    let payload = encode_records(&records).into();
    HttpLog::new(fleet.log)
        .append(LogStream::Ledger, payload)
        .await
        .context("the configuration was not published")?;
    Ok(())
}

async fn send_round(fleet: &ProcessFleet, table: &mut DemoTable, round: &str) {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..ROUND {
        let entry = fleet.entries[number % fleet.entries.len()].callers;
        let proof = ClientRequest::idempotent("proofs", TENANT, &format!("proof-{round}-{number}"));
        let order = ClientRequest::once("orders", TENANT, &format!("order-{round}-{number}"));
        for request in [proof, order] {
            let client = fleet.client.clone();
            tasks.spawn(async move {
                let answer = client.send(entry, &request).await;
                (request, answer)
            });
        }
    }
    table.rows.extend(tasks.join_all().await);
}

/// Sends every order once more through another entry host, as a balancer would.
async fn repeat_orders(fleet: &ProcessFleet, table: &mut DemoTable) {
    let orders: Vec<ClientRequest> = table
        .rows
        .iter()
        .filter(|(request, answer)| !request.idempotent && answer.outcome() == "done")
        .map(|(request, _)| request.clone())
        .collect();
    for (number, order) in orders.into_iter().enumerate() {
        let entry = fleet.entries[(number + 1) % fleet.entries.len()].callers;
        let answer = fleet.client.send(entry, &order).await;
        table.rows.push((order, answer));
    }
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
    tokio::time::sleep(Duration::from_millis(2_000)).await;
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

fn report(table: &DemoTable, runs: &[(String, u32)]) -> anyhow::Result<()> {
    println!(
        "{:<8} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6}",
        "service", "asked", "done", "not-run", "unknown", "run", "wrong"
    );
    let mut wrong = 0;
    for service in SERVICES {
        wrong += report_service(table, runs, service);
    }
    if wrong > 0 {
        bail!("{wrong} answers do not agree with what the targets ran");
    }
    println!("all counts agree");
    Ok(())
}

fn report_service(table: &DemoTable, runs: &[(String, u32)], service: &str) -> usize {
    let rows: Vec<_> = table
        .rows
        .iter()
        .filter(|(request, _)| request.service == service)
        .collect();
    let count = |outcome: &str| {
        rows.iter()
            .filter(|(_, answer)| answer.outcome() == outcome)
            .count()
    };
    let run = |work: &str| {
        runs.iter()
            .find(|(id, _)| id == work)
            .map_or(0, |(_, count)| *count)
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
fn disagrees(rows: &[&(ClientRequest, ClientAnswer)], work: &str, runs: u32) -> bool {
    let of_work: Vec<_> = rows
        .iter()
        .filter(|(request, _)| request.work == work)
        .collect();
    let done = of_work
        .iter()
        .filter(|(_, answer)| answer.outcome() == "done")
        .count();
    let not_run = of_work
        .iter()
        .all(|(_, answer)| answer.outcome() == "not-run");
    let once = of_work.iter().any(|(request, _)| !request.idempotent);
    let foreign = of_work.iter().any(|(request, answer)| match answer {
        ClientAnswer::Whole {
            outcome,
            body,
            work,
            ..
        } if outcome == "done" => *body != request.body || *work != request.work,
        _ => false,
    });
    (runs as usize) < done || (not_run && runs > 0) || (once && runs > 1) || foreign
}
