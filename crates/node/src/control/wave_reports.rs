use {
    crate::ports::{PlatformStore, StoreError},
    goldcreststall_core::ids::Millis,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Delay before a report that was not stored is sent again.
const RETRY_DELAY: Millis = Millis(300);

/// Stores the wave reports of one term one after the other, in order: the last one must win.
#[derive(Clone)]
pub(super) struct WaveReports {
    reports: UnboundedSender<(u64, bool)>,
}

impl WaveReports {
    /// Starts the task that stores the reports of the term with `token`; it ends when the last clone is dropped.
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

    /// Queues a report of the state of a wave.
    pub(super) fn report(&self, wave: u64, completed: bool) {
        // Fails only when the task has ended because a newer owner writes.
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
            if !self.store_report(wave, completed, &queue).await {
                return;
            }
        }
    }

    /// Sends a report until it is stored. Returns false when the term has ended.
    async fn store_report(
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
                    info!(self.logger, "owner: a wave report was stored"; "wave" => wave,
                        "completed" => completed, "token" => self.token);
                    return true;
                }
                Err(StoreError::Sequence { expected }) => self.sequence = expected,
                Err(StoreError::Fenced) => return false,
                Err(error) => {
                    warn!(self.logger, "owner: a wave report was not stored";
                        "wave" => wave, "failure" => %error);
                }
            }
            if queue.is_closed() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
        }
    }
}
