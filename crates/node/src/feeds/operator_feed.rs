use {
    super::StoreContact,
    crate::{
        control::{ControlEvent, OwnerActor},
        ports::{FeedBatch, OperatorRecord, RecordFeed, StoreError},
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::routes::FleetRules,
    goldcreststall_entry::clock::BootClock,
    kameo::actor::ActorRef,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Longest wait of a read for the next record. A connection that went silent must be detected within the time in which
/// a new configuration must be in force.
const LONG_POLL_TIMEOUT: Millis = Millis(900);
/// Delay after a failed read, and after an empty one that did not wait for a record: the topic does not exist yet.
const RETRY_DELAY: Millis = Millis(100);

/// Reads the records of operators.
pub struct OperatorFeed {
    /// The records of operators.
    pub feed: Arc<dyn RecordFeed<OperatorRecord>>,
    /// Receives configurations and waves.
    pub actor: ActorRef<OwnerActor>,
    /// Holds the configuration in force.
    pub rules: watch::Sender<Option<Arc<FleetRules>>>,
    /// Receives the time of each successful read.
    pub contact: StoreContact,
    /// Log of changes and failures.
    pub logger: Logger,
}

impl OperatorFeed {
    /// Reads records until the process ends.
    pub async fn run(self) {
        let mut next = None;
        loop {
            let sent = BootClock.now();
            let read = match next {
                Some(from) => self.feed.follow(from, LONG_POLL_TIMEOUT).await,
                None => self.feed.newest().await,
            };
            match read {
                Ok(batch) => {
                    let answered = BootClock.now();
                    let waited = answered.since(sent);
                    let is_early = batch.records.is_empty() && waited < RETRY_DELAY;
                    next = Some(batch.next);
                    self.handle_batch(batch).await;
                    // After the records are in force. A response that a frozen process reads late is as old as the read.
                    self.contact.record(answered.min(sent + LONG_POLL_TIMEOUT));
                    if is_early {
                        tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                    }
                }
                Err(StoreError::Expired { first }) => {
                    info!(self.logger, "config: the next record has expired; reading all records";
                        "next" => ?next, "first" => first);
                    next = None;
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                }
                Err(error) => {
                    warn!(self.logger, "config: reading the records of operators failed";
                        "failure" => %error);
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                }
            }
        }
    }

    async fn handle_batch(&self, batch: FeedBatch<OperatorRecord>) {
        for (_, record) in batch.records {
            let event = match record {
                Some(OperatorRecord::Rules(rules)) => match self.publish(rules) {
                    Some(rules) => ControlEvent::Rules(rules),
                    None => continue,
                },
                Some(OperatorRecord::Wave(request)) => ControlEvent::Wave(request),
                None => continue,
            };
            // Fails only when the process is ending and the actor has stopped.
            let _ = self.actor.tell(event).await;
        }
    }

    /// Puts a configuration into force; returns `None` if its version is not newer.
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
