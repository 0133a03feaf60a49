use {
    crate::ports::{PlatformStore, StoreError},
    goldcreststall_core::ids::Millis,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Pause before a report is sent again.
const REPORT_PAUSE: Millis = Millis(300);

/// Takes the reports of waves of one term and stores them one after the other: the last one must win.
#[derive(Clone)]
pub(super) struct WaveReports {
    reports: UnboundedSender<(u64, bool)>,
}

impl WaveReports {
    /// Starts the task that stores the reports of the term with `token`; it ends with the last clone.
    pub(super) fn start(store: Arc<dyn PlatformStore>, token: u64, logger: Logger) -> Self {
        let (reports, queue) = unbounded_channel();
        let task = ReportTask {
            logger,
            sequence: 0,
            store,
            token,
        };
        tokio::spawn(task.run(queue));
        Self { reports }
    }

    /// Reports where a wave stands.
    pub(super) fn report(&self, wave: u64, completed: bool) {
        // The task has ended only when a newer owner reports.
        let _ = self.reports.send((wave, completed));
    }
}

struct ReportTask {
    logger: Logger,
    sequence: u64,
    store: Arc<dyn PlatformStore>,
    token: u64,
}

impl ReportTask {
    async fn run(mut self, mut queue: UnboundedReceiver<(u64, bool)>) {
        while let Some((wave, completed)) = queue.recv().await {
            if !self.store(wave, completed, &queue).await {
                return;
            }
        }
    }

    /// Sends a report until it is stored. Returns false when the term is over.
    async fn store(
        &mut self,
        wave: u64,
        completed: bool,
        queue: &UnboundedReceiver<(u64, bool)>,
    ) -> bool {
        loop {
            let fence = (self.token, self.sequence);
            match self.store.report_wave(wave, completed, fence).await {
                Ok(()) => {
                    self.sequence += 1;
                    info!(self.logger, "owner: a wave is reported"; "wave" => wave,
                        "completed" => completed, "token" => self.token);
                    return true;
                }
                Err(StoreError::Sequence { expected }) => self.sequence = expected,
                Err(StoreError::Fenced) => return false,
                Err(error) => {
                    warn!(self.logger, "owner: the report of a wave was not stored";
                        "wave" => wave, "failure" => %error);
                }
            }
            if queue.is_closed() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(REPORT_PAUSE.0)).await;
        }
    }
}
