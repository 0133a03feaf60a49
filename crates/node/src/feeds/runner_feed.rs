use {
    crate::{
        control::{ControlEvent, OwnerActor},
        election::OwnerLocation,
        ports::{RecordFeed, StoreError},
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::runners::RunnerReport,
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Time between two reads of the runners' entries. A moved host takes work only when its entry is read, and one
/// long read would return with every heartbeat.
const READ_PERIOD: Millis = Millis(120);

/// Follows the entries of runners while this process owns the fleet.
pub struct RunnerFeed {
    /// The entries.
    pub feed: Arc<dyn RecordFeed<RunnerReport>>,
    /// Told of changes.
    pub actor: ActorRef<OwnerActor>,
    /// Who owns the fleet.
    pub owner: watch::Receiver<Option<OwnerLocation>>,
    /// Log of failures.
    pub logger: Logger,
}

impl RunnerFeed {
    /// Follows the entries until the process ends.
    pub async fn run(mut self) {
        while self.owner.wait_for(OwnerLocation::is_own).await.is_ok() {
            self.follow_term().await;
        }
    }

    async fn follow_term(&mut self) {
        let mut next = None;
        let mut entries: Vec<(String, RunnerReport)> = Vec::new();
        while OwnerLocation::is_own(&self.owner.borrow()) {
            let anew = next.is_none();
            let read = match next {
                Some(from) => self.feed.follow(from, Millis(0)).await,
                None => self.feed.newest().await,
            };
            match read {
                Ok(batch) => {
                    next = Some(batch.next);
                    if anew {
                        entries.clear();
                    }
                    let mut changed = anew;
                    for (id, report) in batch.records {
                        changed |= put(&mut entries, id, report);
                    }
                    if changed {
                        let reports = entries.iter().map(|(_, report)| report.clone()).collect();
                        let event = ControlEvent::RunnersListed(reports);
                        // The actor is gone only when the process ends.
                        let _ = self.actor.tell(event).await;
                    }
                }
                Err(StoreError::Expired { .. }) => {
                    next = None;
                    continue;
                }
                Err(error) => {
                    warn!(self.logger, "runners: their entries were not read"; "failure" => %error);
                }
            }
            tokio::time::sleep(Duration::from_millis(READ_PERIOD.0)).await;
        }
    }
}

/// Puts an entry in its place, and returns whether anything has changed.
fn put(
    entries: &mut Vec<(String, RunnerReport)>,
    id: String,
    report: Option<RunnerReport>,
) -> bool {
    let index = entries.binary_search_by(|(own, _)| own.cmp(&id));
    match (index, report) {
        (Ok(index), Some(report)) => {
            let changed = entries[index].1 != report;
            entries[index].1 = report;
            changed
        }
        (Ok(index), None) => {
            entries.remove(index);
            true
        }
        (Err(index), Some(report)) => {
            entries.insert(index, (id, report));
            true
        }
        (Err(_), None) => false,
    }
}
