use {
    super::{
        ControlActor, ControlArgs, ControlHandle, append_queue::AppendQueue,
        hosts_poll::poll_hosts, log_tail::LogTail,
    },
    crate::clock::BootClock,
    anyhow::Context,
    goldcreststall_core::ids::{DataCentre, EntryId, Millis},
    goldcreststall_platform::{hosts::HostList, log::LogService},
    kameo::actor::Spawn,
    slog::Logger,
    std::{sync::Arc, thread},
    tokio::{
        runtime::Builder,
        sync::{mpsc, oneshot, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Appends a second that the whole fleet may spend.
const APPEND_BUDGET: u64 = 300;
/// The part of an entry host is rounded down to a multiple of this.
const APPEND_STEP: u64 = 10;

/// What the control thread talks to.
#[derive(Clone)]
pub struct ControlPorts {
    /// The list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// The log service.
    pub log: Arc<dyn LogService>,
}

/// The thread that owns the control state.
pub struct ControlThread {
    handle: ControlHandle,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the operating system gives no thread or runtime.
    pub fn start(
        entry: EntryId,
        data_centre: DataCentre,
        entry_count: u32,
        ports: ControlPorts,
        logger: Logger,
    ) -> anyhow::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("the control runtime was not built")?;
        let (started, handle) = oneshot::channel();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let run = move || {
            runtime.block_on(async move {
                let handle = spawn_parts(entry, data_centre, entry_count, ports, logger);
                let _ = started.send(handle);
                stopped.cancelled().await;
            });
        };
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(run)
            .context("the control thread was not started")?;
        let handle = handle.blocking_recv().context("the control thread ended")?;
        Ok(Self {
            handle,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns access to the control state.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn spawn_parts(
    entry: EntryId,
    data_centre: DataCentre,
    entry_count: u32,
    ports: ControlPorts,
    logger: Logger,
) -> ControlHandle {
    let (appends, records) = mpsc::unbounded_channel();
    let (view, views) = watch::channel(None);
    let args = ControlArgs {
        appends,
        data_centre,
        entry: entry.clone(),
        entry_count,
        logger: logger.clone(),
        view,
    };
    let actor = ControlActor::spawn(args);
    let interval = append_interval(entry_count);
    let queue = AppendQueue::new(Arc::clone(&ports.log), records, interval, logger.clone());
    tokio::spawn(queue.run());
    let tail = LogTail::new(actor.clone(), ports.log, logger.clone());
    tokio::spawn(tail.run());
    tokio::spawn(poll_hosts(ports.hosts, actor.clone(), logger));
    ControlHandle {
        actor,
        clock: BootClock,
        entry,
        view: views,
    }
}

/// Returns the shortest time between two appends of one entry host.
fn append_interval(entry_count: u32) -> Millis {
    let share = APPEND_BUDGET / u64::from(entry_count.max(1));
    let rounded = (share / APPEND_STEP * APPEND_STEP).max(1);
    Millis(1_000 / rounded)
}
