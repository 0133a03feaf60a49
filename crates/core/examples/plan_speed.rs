//! Prints how long one placement plan takes, how fast submissions are applied, and how much memory they use, at the
//! design size and above.

use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::OrganisationName,
        ids::{
            DataCentre, HostName, Incarnation, LogTime, Millis, PoolName, RackName, ServiceName,
        },
        jobs::{
            JobContext, JobId, JobLedger, JobRecord, JobSize, JobSpec, PlacementInput, PoolMembers,
            WorkerId, WorkerReport, WorkerView, plan_placement,
        },
        traffic::Urgency,
    },
    std::{fmt::Write, time::Instant},
};

const REPEATS: usize = 21;
const START: LogTime = LogTime(1_800_000_000_000);
const ORGANISATIONS: usize = 140;

type AnyResult<T> = Result<T, Box<dyn std::error::Error>>;

struct OnePool(PoolName);

impl PoolMembers for OnePool {
    fn pool_size(&self, _pool: &PoolName) -> usize {
        1_400
    }

    fn pool_of(&self, _host: &HostName) -> Option<&PoolName> {
        Some(&self.0)
    }
}

fn size(cores_milli: u32, memory_mib: u32) -> JobSize {
    JobSize {
        accelerators: 0,
        cores_milli,
        memory_mib,
    }
}

fn worker(index: usize, pool: &PoolName) -> AnyResult<WorkerView> {
    Ok(WorkerView {
        capacity: size(32_000, 65_536),
        data_centre: DataCentre::try_from(format!("d{}", index / 4 % 6))?,
        draining: false,
        id: WorkerId {
            host: HostName::try_from(format!("w{index}"))?,
            incarnation: Incarnation(1),
        },
        pool: pool.clone(),
        rack: RackName::try_from(format!("r{}", index / 4))?,
        report: Some(WorkerReport {
            age: Millis(100),
            tasks: Vec::new(),
            usage: JobSize::default(),
        }),
    })
}

fn config() -> AnyResult<FleetConfig> {
    let mut text = "pools = [{ name = \"batch\", min_available = 0 }]\n".to_owned();
    for organisation in 0..ORGANISATIONS {
        write!(
            text,
            "[[tenants]]\nname = \"t{organisation}\"\nweight = 100\n"
        )?;
    }
    Ok(FleetConfig::try_from(text.as_str())?)
}

fn spec(index: usize, pool: &PoolName) -> AnyResult<JobSpec> {
    let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight][index % 3];
    let step = u32::try_from(index % 16)?;
    Ok(JobSpec {
        checkpoints: true,
        deadline: START + Millis(3_600_000 + index as u64),
        idempotent: true,
        payload: "{}".to_owned(),
        pool: pool.clone(),
        run_time: Millis(60_000),
        service: ServiceName::try_from(format!("s{}", index % 5))?,
        size: size(1_000 + 500 * step, 1_024 + 700 * step),
        organisation: OrganisationName::try_from(format!("t{}", index % ORGANISATIONS))?,
        urgency,
    })
}

fn submission(index: usize, pool: &PoolName) -> AnyResult<JobRecord> {
    let job = JobId::at(START, index as u128);
    let spec = spec(index, pool)?;
    Ok(JobRecord::Submit { job, spec })
}

fn resident_kib() -> AnyResult<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.and_then(|line| line.split_whitespace().next());
    Ok(text.ok_or("no VmRSS")?.parse()?)
}

fn measure(workers: usize, jobs: usize) -> AnyResult<()> {
    let pool = PoolName::try_from("batch")?;
    let config = config()?;
    let views: Result<Vec<_>, _> = (0..workers).map(|index| worker(index, &pool)).collect();
    let views = views?;
    let mut ledger = JobLedger::default();
    let members = OnePool(pool.clone());
    let context = JobContext {
        config: &config,
        now: START,
        pools: &members,
    };
    let submissions: Result<Vec<_>, _> = (0..jobs).map(|index| submission(index, &pool)).collect();
    let submissions = submissions?;
    let resident_before = resident_kib()?;
    let started = Instant::now();
    for record in &submissions {
        ledger.apply(&context, record)?;
    }
    let rate = jobs as f64 / started.elapsed().as_secs_f64();
    let growth_kib = resident_kib()?.saturating_sub(resident_before);
    println!(
        "{workers} workers, {jobs} jobs: {rate:.0} submissions/s applied, memory grew by {growth_kib} KiB"
    );
    for state in ["all queued", "after grants"] {
        let input = PlacementInput {
            config: &config,
            ledger: &ledger,
            now: START,
            observed_for: Millis(60_000),
            pool: &pool,
            workers: &views,
        };
        let mut times = Vec::new();
        let mut plan = plan_placement(&input);
        for _ in 0..REPEATS {
            let started = Instant::now();
            plan = plan_placement(&input);
            times.push(started.elapsed());
        }
        times.sort_unstable();
        println!(
            "{workers} workers, {jobs} jobs, {state}: median {:.2} ms, max {:.2} ms, waiting {:?}",
            times[REPEATS / 2].as_secs_f64() * 1e3,
            times[REPEATS - 1].as_secs_f64() * 1e3,
            plan.waiting,
        );
        let started = Instant::now();
        for record in &plan.records {
            ledger.apply(&context, record)?;
        }
        let millis = started.elapsed().as_secs_f64() * 1e3;
        println!("  {} records applied in {millis:.2} ms", plan.records.len());
    }
    Ok(())
}

fn main() -> AnyResult<()> {
    measure(50, 500)?;
    measure(50, 5_000)?;
    measure(1_400, 5_000)?;
    measure(1_400, 9_900)
}
