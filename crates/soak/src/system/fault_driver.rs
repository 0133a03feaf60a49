use {
    super::{SoakSystem, late_calls::inject_late_calls},
    crate::plan::{Fault, HostFaultKind, Partition, PlannedFault, StoreFaultKind, WireScope},
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

/// Time that a process has to end after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
const SLOW_STORE_DELAY: Duration = Duration::from_millis(250);
/// Delay of commands and appends that are executed late.
const LATE_DELAY: Duration = Duration::from_secs(2);
/// One response in this number is lost.
const LOST_RESPONSE_DIVISOR: u32 = 3;
const SLOWDOWN_FACTOR: u32 = 6;
/// Time within which a wave is requested to be completed.
const WAVE_DURATION: Duration = Duration::from_secs(12);

/// Injects the faults of a plan.
pub struct FaultDriver {
    system: Arc<SoakSystem>,
    /// Receives the number of jobs of each burst.
    burst_sender: UnboundedSender<usize>,
    wave_count: Arc<AtomicU64>,
}

impl FaultDriver {
    /// Creates a driver that requests bursts of jobs through `burst_sender`.
    pub fn new(system: Arc<SoakSystem>, burst_sender: UnboundedSender<usize>) -> Self {
        Self {
            system,
            burst_sender,
            wave_count: Arc::default(),
        }
    }

    /// Injects all faults, waits until the last one has ended, and returns the number of waves that were requested.
    pub async fn run(self, faults: &[PlannedFault]) -> u64 {
        let started = Instant::now();
        let mut running = JoinSet::new();
        for planned in faults {
            tokio::time::sleep_until(started + planned.at).await;
            running.spawn(inject(
                Arc::clone(&self.system),
                self.burst_sender.clone(),
                Arc::clone(&self.wave_count),
                planned.fault.clone(),
            ));
        }
        while running.join_next().await.is_some() {}
        self.wave_count.load(Ordering::Relaxed)
    }
}

async fn inject(
    system: Arc<SoakSystem>,
    burst_sender: UnboundedSender<usize>,
    wave_count: Arc<AtomicU64>,
    fault: Fault,
) {
    match fault {
        Fault::Kill(entries, downtime) => kill(&system, &entries, downtime).await,
        Fault::LosePower(entries, downtime) => {
            system.cut_power(&entries);
            start_after(&system, &entries, downtime).await;
        }
        Fault::Terminate(entry) => terminate(&system, entry).await,
        Fault::Pause(entry, duration) => {
            signal(&system, entry, Signal::STOP);
            tokio::time::sleep(duration).await;
            signal(&system, entry, Signal::CONT);
        }
        Fault::Reload(entry) => signal(&system, entry, Signal::HUP),
        Fault::Wire(scope, mode, duration) => {
            with_relay(&system, scope, |relay| relay.set(mode));
            tokio::time::sleep(duration).await;
            with_relay(&system, scope, |relay| relay.set(RelayMode::Open));
        }
        Fault::SilenceOpen(scope) => with_relay(&system, scope, TcpRelay::silence_open),
        Fault::Store(kind, duration) => {
            system.platform.set_store_fault(store_fault(kind));
            tokio::time::sleep(duration).await;
            system.platform.set_store_fault(StoreFault::None);
        }
        Fault::ForgetHistory => system.platform.forget_history(),
        Fault::Host(host, kind, duration) => {
            system.platform.set_host_fault(host, host_fault(kind));
            tokio::time::sleep(duration).await;
            system.platform.set_host_fault(host, HostFault::None);
        }
        Fault::CrashHost(host, downtime) => crash(&system, host, downtime).await,
        Fault::Partition(partition) => isolate(&system, &partition).await,
        Fault::LateCalls(series) => inject_late_calls(&system, &series).await,
        Fault::Configure => system.change_config(),
        Fault::Wave(hosts, cap) => {
            let number = wave_count.fetch_add(1, Ordering::Relaxed) + 1;
            system
                .platform
                .request_wave(number, &hosts, cap, WAVE_DURATION);
        }
        // Sending fails only after the load has ended.
        Fault::Burst(jobs) => {
            let _ = burst_sender.send(jobs);
        }
    }
}

pub(super) async fn crash(system: &SoakSystem, host: usize, downtime: Duration) {
    system.platform.crash_host(host);
    tokio::time::sleep(downtime).await;
    system.platform.restart_host(host);
}

async fn isolate(system: &Arc<SoakSystem>, partition: &Partition) {
    let end = Instant::now() + partition.duration;
    let scopes = [
        WireScope::Link(partition.entry),
        WireScope::Store(partition.entry),
        WireScope::HostService(partition.entry),
    ];
    for scope in scopes {
        with_relay(system, scope, |relay| relay.set(RelayMode::Silent));
    }
    system.platform.isolate_hosts(&partition.hosts);
    let mut crashes = JoinSet::new();
    for planned in partition.crashes.clone() {
        let system = Arc::clone(system);
        crashes.spawn(async move {
            tokio::time::sleep(planned.delay).await;
            crash(&system, planned.host, planned.downtime).await;
        });
    }
    while crashes.join_next().await.is_some() {}
    tokio::time::sleep_until(end).await;
    for scope in scopes {
        with_relay(system, scope, |relay| relay.set(RelayMode::Open));
    }
    system.platform.reconnect_hosts(&partition.hosts);
}

fn signal(system: &SoakSystem, entry: usize, signal: Signal) {
    system.entries.lock()[entry].signal(signal);
}

pub(super) fn with_relay(system: &SoakSystem, scope: WireScope, change: impl FnOnce(&TcpRelay)) {
    let entries = system.entries.lock();
    match scope {
        WireScope::Link(entry) => change(&entries[entry].link_relay),
        WireScope::Store(entry) => change(&entries[entry].store_relay),
        WireScope::HostService(entry) => change(&entries[entry].host_service_relay),
        WireScope::Callers(entry) => change(&entries[entry].caller_relay),
        WireScope::Runner(host) => change(&system.runner_relays[host]),
    }
}

pub(super) async fn kill(system: &SoakSystem, entries: &[usize], downtime: Duration) {
    for entry in entries {
        system.entries.lock()[*entry].kill();
    }
    start_after(system, entries, downtime).await;
}

async fn start_after(system: &SoakSystem, entries: &[usize], downtime: Duration) {
    tokio::time::sleep(downtime).await;
    for entry in entries {
        start(system, *entry);
    }
}

pub(super) async fn terminate(system: &SoakSystem, entry: usize) {
    signal(system, entry, Signal::TERM);
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline && !system.entries.lock()[entry].has_ended() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    system.entries.lock()[entry].kill();
    start(system, entry);
}

/// Starts a process unless an overlapping fault has already started it.
fn start(system: &SoakSystem, entry: usize) {
    let mut entries = system.entries.lock();
    if !entries[entry].is_started()
        && let Err(error) = entries[entry].start()
    {
        eprintln!("soak: entry host {entry} failed to restart: {error:#}");
    }
}

fn store_fault(kind: StoreFaultKind) -> StoreFault {
    match kind {
        StoreFaultKind::AppliesLate => StoreFault::AppliesLate(LATE_DELAY),
        StoreFaultKind::LosesResponses => StoreFault::LosesEvery(LOST_RESPONSE_DIVISOR),
        StoreFaultKind::Refuses => StoreFault::Refuses,
        StoreFaultKind::Slow => StoreFault::Slow(SLOW_STORE_DELAY),
    }
}

fn host_fault(kind: HostFaultKind) -> HostFault {
    match kind {
        HostFaultKind::AppliesLate => HostFault::AppliesLate(LATE_DELAY),
        HostFaultKind::Fails => HostFault::Fails,
        HostFaultKind::Hangs => HostFault::Hangs,
        HostFaultKind::LosesResponses => HostFault::LosesEvery(LOST_RESPONSE_DIVISOR),
        HostFaultKind::Slow => HostFault::Slow(SLOWDOWN_FACTOR),
    }
}
