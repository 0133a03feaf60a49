//! Benchmark: latency and throughput of requests through one entry host, compared with direct requests to the targets.

use {
    anyhow::{Context, ensure},
    bytes::Bytes,
    goldcreststall_platform::hosts::HostRow,
    goldcreststall_standins::process::{FleetLayout, ProcessFleet},
    hdrhistogram::Histogram,
    http::{Method, Request},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

const MEASURED_REQUESTS: usize = 40_000;
/// Numbers of concurrent callers; each waits for a response before it sends the next request.
const CALLER_COUNTS: [usize; 3] = [1, 8, 48];
/// Sent before each measurement, so that the connections are open.
const WARM_UP_REQUESTS: usize = 2_000;
const LIST_REFRESH_DELAY: Duration = Duration::from_millis(2_500);

type BenchClient = Client<HttpConnector, Full<Bytes>>;

/// A measured path; callers are distributed over its addresses.
struct BenchPath {
    addresses: Vec<SocketAddr>,
    name: &'static str,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let log_directory =
        std::env::temp_dir().join(format!("goldcreststall-bench-{}", std::process::id()));
    let layout = FleetLayout {
        data_centres: 1,
        entries: 1,
        lag_ms: 0,
        relays: false,
        retention_ms: 3_600_000,
        services: vec!["proofs".to_owned()],
        slots: 8,
        targets: 10,
    };
    let fleet = ProcessFleet::start(&layout, log_directory.clone()).await?;
    let document = "[[pools]]\nname = \"proofs\"\nmin_available = 1\n[[services]]\nname = \"proofs\"\n\
                    pool = \"proofs\"\n[[tenants]]\nname = \"ferrandi\"\n";
    let pool_of = |_: &HostRow| "proofs".to_owned();
    fleet.set_up(document.to_owned(), &pool_of).await?;
    fleet.wait_until_healthy(0).await?;
    tokio::time::sleep(LIST_REFRESH_DELAY).await;
    let paths = [
        BenchPath {
            addresses: fleet.targets.iter().map(|row| row.address).collect(),
            name: "direct",
        },
        BenchPath {
            addresses: vec![fleet.entries[0].callers],
            name: "entry host",
        },
    ];
    println!("| callers | path | requests/s | p50, µs | p99, µs | p99.9, µs |");
    println!("|---|---|---|---|---|---|");
    for callers in CALLER_COUNTS {
        for path in &paths {
            measure(path, callers, WARM_UP_REQUESTS).await?;
            let (histogram, rate) = measure(path, callers, MEASURED_REQUESTS).await?;
            println!(
                "| {callers} | {} | {rate:.0} | {} | {} | {} |",
                path.name,
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
                histogram.value_at_quantile(0.999)
            );
        }
    }
    drop(fleet);
    std::fs::remove_dir_all(log_directory)?;
    Ok(())
}

async fn measure(
    path: &BenchPath,
    callers: usize,
    requests: usize,
) -> anyhow::Result<(Histogram<u64>, f64)> {
    let client: BenchClient = Client::builder(TokioExecutor::new()).build_http();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let client = client.clone();
        let address = path.addresses[caller % path.addresses.len()];
        tasks.spawn(send_requests(client, address, requests / callers));
    }
    let mut merged = Histogram::new(3)?;
    for result in tasks.join_all().await {
        merged.add(result?)?;
    }
    let rate = merged.len() as f64 / started.elapsed().as_secs_f64();
    Ok((merged, rate))
}

async fn send_requests(
    client: BenchClient,
    address: SocketAddr,
    requests: usize,
) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3)?;
    for number in 0..requests {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/work"))
            .header("gcs-service", "proofs")
            .header("gcs-tenant", "ferrandi")
            .header("gcs-urgency", "urgent")
            .header("gcs-idempotent", "true")
            .header("work-id", (number % 100).to_string())
            .body(Full::new(Bytes::from_static(b"proof")))?;
        let started = Instant::now();
        let response = client.request(request).await.context("no response")?;
        ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        response.into_body().collect().await?;
        histogram.record(u64::try_from(started.elapsed().as_micros())?)?;
    }
    Ok(histogram)
}
