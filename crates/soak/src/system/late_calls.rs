use {
    super::{
        SoakSystem,
        fault_driver::{crash, kill, terminate, with_relay},
    },
    crate::plan::{EntrySignal, LateCallSeries, RunnerRestart, SignalTarget, WireScope},
    goldcreststall_adapter_standin::LateCallShape,
    goldcreststall_standins::process::RelayMode,
    std::{ops::Range, sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// Time from a call that is executed late to its execution.
const LATE_CALL_DELAY_MS: Range<u64> = 100..12_000;
/// Longest time from a call that is executed late to its execution.
pub const MAX_LATE_CALL_DELAY: Duration = Duration::from_millis(LATE_CALL_DELAY_MS.end);

/// Injects a series, and waits until the last of its calls has been executed.
pub(super) async fn inject_late_calls(system: &Arc<SoakSystem>, series: &LateCallSeries) {
    for host in &series.hosts {
        let shape = LateCallShape {
            seed: series.seed ^ *host as u64,
            percent: series.percent,
            delay_ms: LATE_CALL_DELAY_MS,
        };
        system.platform.set_late_calls(*host, Some(shape));
    }
    let mut running = JoinSet::new();
    for planned in series.restarts.iter().copied() {
        running.spawn(restart_runner(Arc::clone(system), planned));
    }
    for planned in series.signals.iter().copied() {
        running.spawn(signal_entry(Arc::clone(system), planned));
    }
    tokio::time::sleep(series.duration).await;
    for host in &series.hosts {
        system.platform.set_late_calls(*host, None);
    }
    tokio::time::sleep(MAX_LATE_CALL_DELAY).await;
    while running.join_next().await.is_some() {}
}

async fn restart_runner(system: Arc<SoakSystem>, planned: RunnerRestart) {
    tokio::time::sleep(planned.delay).await;
    crash(&system, planned.host, planned.downtime).await;
    let Some((delay, duration)) = planned.cut else {
        return;
    };
    tokio::time::sleep(delay).await;
    let scope = WireScope::Runner(planned.host);
    with_relay(&system, scope, |relay| relay.set(RelayMode::Silent));
    tokio::time::sleep(duration).await;
    with_relay(&system, scope, |relay| relay.set(RelayMode::Open));
}

async fn signal_entry(system: Arc<SoakSystem>, planned: EntrySignal) {
    tokio::time::sleep(planned.delay).await;
    let entry = match planned.target {
        SignalTarget::Entry(entry) => entry,
        // Without a claim in the store nobody owns the fleet.
        SignalTarget::Owner => match system.owner() {
            Some(owner) => owner,
            None => return,
        },
    };
    match planned.killed_for {
        Some(downtime) => kill(&system, &[entry], downtime).await,
        None => terminate(&system, entry).await,
    }
}
