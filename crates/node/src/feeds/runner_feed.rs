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

/// Time between two reads of the runners' reports. A moved host takes work only once its report is read, and a long
/// poll would return with every heartbeat.
const READ_INTERVAL: Millis = Millis(120);

/// Reads the reports of runners while this process owns the fleet.
pub struct RunnerFeed {
    /// The reports of runners.
    pub feed: Arc<dyn RecordFeed<RunnerReport>>,
    /// Receives the list of runners after each change.
    pub actor: ActorRef<OwnerActor>,
    /// The present owner.
    pub owner: watch::Receiver<Option<OwnerLocation>>,
    /// Log of failures.
    pub logger: Logger,
}

impl RunnerFeed {
    /// Reads reports until the process ends.
    pub async fn run(mut self) {
        loop {
            let owner = match self.owner.wait_for(OwnerLocation::is_own).await {
                Ok(owner) => owner.clone(),
                Err(_) => return,
            };
            self.follow_term(owner).await;
        }
    }

    /// Reads reports while the owner is `term`. The next term of this process may begin between two reads, and starts
    /// without a list.
    async fn follow_term(&mut self, term: Option<OwnerLocation>) {
        let mut next = None;
        let mut reports: Vec<(String, RunnerReport)> = Vec::new();
        while *self.owner.borrow() == term {
            let full_read = next.is_none();
            let read = match next {
                Some(from) => self.feed.follow(from, Millis(0)).await,
                None => self.feed.newest().await,
            };
            match read {
                Ok(batch) => {
                    next = Some(batch.next);
                    if full_read {
                        reports.clear();
                    }
                    let mut changed = full_read;
                    for (id, report) in batch.records {
                        changed |= update_report(&mut reports, id, report);
                    }
                    if changed {
                        let listed = reports.iter().map(|(_, report)| report.clone()).collect();
                        let event = ControlEvent::RunnersListed(listed);
                        // Fails only when the process is ending and the actor has stopped.
                        let _ = self.actor.tell(event).await;
                    }
                }
                Err(StoreError::Expired { .. }) => {
                    next = None;
                    continue;
                }
                Err(error) => {
                    warn!(self.logger, "runners: reading their reports failed";
                        "failure" => %error);
                }
            }
            tokio::time::sleep(Duration::from_millis(READ_INTERVAL.0)).await;
        }
    }
}

/// Inserts, replaces or removes the report of a runner; returns whether anything has changed.
fn update_report(
    reports: &mut Vec<(String, RunnerReport)>,
    id: String,
    report: Option<RunnerReport>,
) -> bool {
    let index = reports.binary_search_by(|(other, _)| other.cmp(&id));
    match (index, report) {
        (Ok(index), Some(report)) => {
            let changed = reports[index].1 != report;
            reports[index].1 = report;
            changed
        }
        (Ok(index), None) => {
            reports.remove(index);
            true
        }
        (Err(index), Some(report)) => {
            reports.insert(index, (id, report));
            true
        }
        (Err(_), None) => false,
    }
}
