//! Guards against jobs that run twice, get lost or never end while duty holders, workers and the log fail.

mod job_fleet;

use {
    goldcreststall_core::{
        ids::Millis,
        jobs::{JobLedger, JobRecord, JobState},
        traffic::Urgency,
    },
    job_fleet::{FleetSim, pool, spec},
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 256;
const SEED: u64 = 73;
/// Rounds of half a second without faults in which all jobs have to end: each lease may have to lapse first, and each
/// job may need several attempts.
const FINAL_ROUNDS: usize = 600;

#[derive(Clone, Debug)]
enum Step {
    Append { holder: usize, response_lost: bool },
    SetBroken { broken: bool, worker: usize },
    Cancel(usize),
    LogDown(bool),
    CollectReports(usize),
    PauseWorker { millis: u64, worker: usize },
    Plan(usize),
    ReadLog(usize),
    RestartWorker(usize),
    Round,
    SendCommands(usize),
    Snapshot,
    Submit { idempotent: bool, poison: bool },
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let holder = 0..2_usize;
    let worker = 0..6_usize;
    let step = prop_oneof![
        8 => (holder.clone(), any::<bool>())
            .prop_map(|(holder, response_lost)| Step::Append { holder, response_lost }),
        1 => (any::<bool>(), worker.clone()).prop_map(|(broken, worker)| Step::SetBroken { broken, worker }),
        1 => (0..40_usize).prop_map(Step::Cancel),
        1 => any::<bool>().prop_map(Step::LogDown),
        8 => holder.clone().prop_map(Step::CollectReports),
        1 => (0..120_000_u64, worker.clone())
            .prop_map(|(millis, worker)| Step::PauseWorker { millis, worker }),
        8 => holder.clone().prop_map(Step::Plan),
        8 => holder.clone().prop_map(Step::ReadLog),
        1 => worker.prop_map(Step::RestartWorker),
        8 => Just(Step::Round),
        8 => holder.prop_map(Step::SendCommands),
        1 => Just(Step::Snapshot),
        4 => (any::<bool>(), prop::bool::weighted(0.1))
            .prop_map(|(idempotent, poison)| Step::Submit { idempotent, poison }),
        4 => prop_oneof![0..2_000_u64, Just(26_000), 0..60_000_u64].prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..250)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn apply_step(fleet: &mut FleetSim, step: Step) {
    match step {
        Step::Append {
            holder,
            response_lost,
        } => fleet.append(holder, response_lost),
        Step::SetBroken { broken, worker } => fleet.workers[worker].broken = broken,
        Step::Cancel(index) => {
            if let Some(job) = fleet
                .submitted
                .get(index)
                .copied()
                .filter(|_| !fleet.log_down)
            {
                let _ = fleet.apply(&JobRecord::Cancel { jobs: vec![job] });
            }
        }
        Step::LogDown(down) => fleet.log_down = down,
        Step::CollectReports(holder) => fleet.collect_reports(holder),
        Step::PauseWorker { millis, worker } => {
            fleet.workers[worker].paused_until = fleet.now + Millis(millis);
        }
        Step::Plan(holder) => drop(fleet.plan(holder)),
        Step::ReadLog(holder) => fleet.read_log(holder),
        Step::RestartWorker(worker) => fleet.restart(worker),
        Step::Round => drop(fleet.run_round()),
        Step::SendCommands(holder) => fleet.send_commands(holder),
        Step::Snapshot => {
            let bytes = postcard::to_stdvec(&fleet.ledger).unwrap();
            let restored: JobLedger = postcard::from_bytes(&bytes).unwrap();
            assert_eq!(restored, fleet.ledger);
            fleet.ledger = restored;
        }
        Step::Submit { idempotent, poison } if !fleet.log_down => {
            let mut spec = spec("t1", Urgency::Normal);
            spec.idempotent = idempotent;
            let job = fleet.submit(spec);
            if poison {
                fleet.poison.insert(job);
            }
        }
        Step::Submit { .. } => {}
        Step::Advance(millis) => fleet.advance(millis),
    }
}

fn clear_faults(fleet: &mut FleetSim) {
    fleet.log_down = false;
    for worker in &mut fleet.workers {
        worker.broken = false;
        worker.paused_until = fleet.now;
    }
}

proptest! {
    #![proptest_config(config())]

    /// Two duty holders plan on outdated states and reports, append records again whose response was lost, and send
    /// commands late, while workers pause, restart and fail. A non-idempotent job starts at most once. After the
    /// faults, every submitted job ends, and its final state matches what happened to it.
    #[test]
    fn jobs_run_once(steps in steps()) {
        let mut fleet = FleetSim::new(6);
        for step in steps {
            apply_step(&mut fleet, step);
        }
        clear_faults(&mut fleet);
        fleet.run_rounds(FINAL_ROUNDS);
        prop_assert_eq!(fleet.ledger.unfinished(&pool()).count(), 0, "unfinished jobs remain in the index of the pool");
        for id in &fleet.submitted {
            let job = fleet.ledger.job(*id).expect("an acknowledged job must not be lost");
            let runs = fleet.runs.get(id).copied().unwrap_or_default();
            prop_assert!(job.spec.idempotent || runs <= 1, "{id} ran {runs} times");
            prop_assert!(!job.state.is_unfinished(), "{id} has not ended: {job:?}");
            prop_assert!(job.state != JobState::Done || runs > 0, "{id} is done and did not run");
            prop_assert!(!job.spec.idempotent || job.state != JobState::Unknown, "{id} is unknown");
        }
    }
}
