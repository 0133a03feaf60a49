use {
    crate::{
        control::{ControlEvent, OwnerActor},
        ports::{FeedBatch, OperatorRecord, RecordFeed, StoreError},
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::routes::FleetRules,
    kameo::actor::ActorRef,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Longest wait of one read, so that a connection that went silent is found out within the time in which a
/// configuration must be in force.
const READ_WAIT: Millis = Millis(900);
/// Pause after a failed read.
const FAILURE_PAUSE: Millis = Millis(100);

/// Follows the records of operators.
pub struct OperatorFeed {
    /// The records.
    pub feed: Arc<dyn RecordFeed<OperatorRecord>>,
    /// Told of configurations and waves.
    pub actor: ActorRef<OwnerActor>,
    /// Told of configurations.
    pub rules: watch::Sender<Option<Arc<FleetRules>>>,
    /// Log of changes.
    pub logger: Logger,
}

impl OperatorFeed {
    /// Follows the records until the process ends.
    pub async fn run(self) {
        let mut next = None;
        loop {
            let read = match next {
                Some(from) => self.feed.follow(from, READ_WAIT).await,
                None => self.feed.newest().await,
            };
            match read {
                Ok(batch) => {
                    next = Some(batch.next);
                    self.take(batch).await;
                }
                Err(StoreError::Expired { first }) => {
                    info!(self.logger, "config: the history has expired and is read anew";
                        "next" => ?next, "first" => first);
                    next = None;
                }
                Err(error) => {
                    warn!(self.logger, "config: the records of operators were not read";
                        "failure" => %error);
                    tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE.0)).await;
                }
            }
        }
    }

    async fn take(&self, batch: FeedBatch<OperatorRecord>) {
        for (_, record) in batch.records {
            let event = match record {
                Some(OperatorRecord::Rules(rules)) => match self.publish(rules) {
                    Some(rules) => ControlEvent::Rules(rules),
                    None => continue,
                },
                Some(OperatorRecord::Wave(request)) => ControlEvent::Wave(request),
                None => continue,
            };
            // The actor is gone only when the process ends.
            let _ = self.actor.tell(event).await;
        }
    }

    fn publish(&self, rules: FleetRules) -> Option<Arc<FleetRules>> {
        let current = self.rules.borrow().as_ref().map(|rules| rules.version);
        if current.is_some_and(|current| rules.version <= current) {
            return None;
        }
        info!(self.logger, "config: a version is in force"; "version" => rules.version,
            "before" => ?current, "routes" => rules.routes.len());
        let rules = Arc::new(rules);
        self.rules.send_replace(Some(Arc::clone(&rules)));
        Some(rules)
    }
}
