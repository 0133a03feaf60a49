use {
    super::SoakSystem,
    crate::plan::{Fault, HostFaultKind, PlannedFault, StoreFaultKind, WirePart},
    goldcreststall_adapter_standin::{HostFault, StoreFault},
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    rustix::process::Signal,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc::UnboundedSender, task::JoinSet, time::Instant},
};

/// Time after SIGTERM in which a process must have ended.
const STOP_LIMIT: Duration = Duration::from_secs(7);
/// Delay of a slow store.
const SLOW_STORE: Duration = Duration::from_millis(250);
/// Delay with which orders and appends are carried out late.
const LATE: Duration = Duration::from_secs(2);
const LOST_EVERY: u32 = 3;
const SLOW_TIMES: u32 = 6;
/// Time in which a wave is asked to be completed.
const WAVE_TIME: Duration = Duration::from_secs(12);

/// Injects the faults of a plan.
pub struct FaultDriver {
    system: Arc<SoakSystem>,
    /// Told of bursts: the number of jobs that come at once.
    bursts: UnboundedSender<usize>,
    waves: Arc<AtomicU64>,
}

impl FaultDriver {
    /// Creates a driver that asks for bursts of jobs through `bursts`.
    pub fn new(system: Arc<SoakSystem>, bursts: UnboundedSender<usize>) -> Self {
        Self {
            system,
            bursts,
            waves: Arc::default(),
        }
    }

    /// Injects all faults and returns when the last one is over; returns the number of waves asked for.
    pub async fn run(self, faults: &[PlannedFault]) -> u64 {
        let began = Instant::now();
        let mut running = JoinSet::new();
        for planned in faults {
            tokio::time::sleep_until(began + planned.at).await;
            running.spawn(inject(
                Arc::clone(&self.system),
                self.bursts.clone(),
                Arc::clone(&self.waves),
                planned.fault.clone(),
            ));
        }
        while running.join_next().await.is_some() {}
        self.waves.load(Ordering::Relaxed)
    }
}

async fn inject(
    system: Arc<SoakSystem>,
    bursts: UnboundedSender<usize>,
    waves: Arc<AtomicU64>,
    fault: Fault,
) {
    match fault {
        Fault::Kill(entries, down) => kill(&system, &entries, down).await,
        Fault::Terminate(entry) => terminate(&system, entry).await,
        Fault::Pause(entry, time) => {
            signal(&system, entry, Signal::STOP);
            tokio::time::sleep(time).await;
            signal(&system, entry, Signal::CONT);
        }
        Fault::Reload(entry) => signal(&system, entry, Signal::HUP),
        Fault::Wire(part, mode, time) => {
            with_relay(&system, part, |relay| relay.set(mode));
            tokio::time::sleep(time).await;
            with_relay(&system, part, |relay| relay.set(RelayMode::Open));
        }
        Fault::SilenceOpen(part) => with_relay(&system, part, TcpRelay::silence_open),
        Fault::Store(kind, time) => {
            system.platform.set_store_fault(store_fault(kind));
            tokio::time::sleep(time).await;
            system.platform.set_store_fault(StoreFault::None);
        }
        Fault::ForgetHistory => system.platform.forget_history(),
        Fault::Host(host, kind, time) => {
            system.platform.set_host_fault(host, host_fault(kind));
            tokio::time::sleep(time).await;
            system.platform.set_host_fault(host, HostFault::None);
        }
        Fault::CrashHost(host, down) => {
            system.platform.crash_host(host);
            tokio::time::sleep(down).await;
            system.platform.restart_host(host);
        }
        Fault::Configure => system.change_config(),
        Fault::Wave(hosts, cap) => {
            let number = waves.fetch_add(1, Ordering::Relaxed) + 1;
            system.platform.request_wave(number, &hosts, cap, WAVE_TIME);
        }
        // The receiver is gone only when the load has ended.
        Fault::Burst(jobs) => {
            let _ = bursts.send(jobs);
        }
    }
}

fn signal(system: &SoakSystem, entry: usize, signal: Signal) {
    system.entries.lock()[entry].signal(signal);
}

fn with_relay(system: &SoakSystem, part: WirePart, change: impl FnOnce(&TcpRelay)) {
    let entries = system.entries.lock();
    match part {
        WirePart::Link(entry) => change(&entries[entry].link),
        WirePart::Store(entry) => change(&entries[entry].store),
        WirePart::HostService(entry) => change(&entries[entry].hosts),
        WirePart::Callers(entry) => change(&entries[entry].callers),
        WirePart::Runner(host) => change(&system.runner_relays[host]),
    }
}

async fn kill(system: &SoakSystem, entries: &[usize], down: Duration) {
    for entry in entries {
        system.entries.lock()[*entry].kill();
    }
    tokio::time::sleep(down).await;
    for entry in entries {
        start(system, *entry);
    }
}

async fn terminate(system: &SoakSystem, entry: usize) {
    signal(system, entry, Signal::TERM);
    let limit = Instant::now() + STOP_LIMIT;
    while Instant::now() < limit && !system.entries.lock()[entry].has_ended() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    system.entries.lock()[entry].kill();
    start(system, entry);
}

/// Starts a process, unless an overlapping fault has started it already.
fn start(system: &SoakSystem, entry: usize) {
    let mut entries = system.entries.lock();
    if !entries[entry].runs()
        && let Err(error) = entries[entry].start()
    {
        eprintln!("soak: entry host {entry} was not started again: {error:#}");
    }
}

fn store_fault(kind: StoreFaultKind) -> StoreFault {
    match kind {
        StoreFaultKind::AppliesLate => StoreFault::AppliesLate(LATE),
        StoreFaultKind::LosesAnswers => StoreFault::LosesEvery(LOST_EVERY),
        StoreFaultKind::Refuses => StoreFault::Refuses,
        StoreFaultKind::Slow => StoreFault::Slow(SLOW_STORE),
    }
}

fn host_fault(kind: HostFaultKind) -> HostFault {
    match kind {
        HostFaultKind::AppliesLate => HostFault::AppliesLate(LATE),
        HostFaultKind::Fails => HostFault::Fails,
        HostFaultKind::Hangs => HostFault::Hangs,
        HostFaultKind::LosesAnswers => HostFault::LosesEvery(LOST_EVERY),
        HostFaultKind::Slow => HostFault::Slow(SLOW_TIMES),
    }
}
