use {crate::routes::RouteRule, std::sync::Arc};

/// The configurations of the queues of all jobs. Jobs of one queue share its configuration as long as it does not change.
#[derive(Debug, Default)]
pub(super) struct QueueTable {
    queues: Vec<Arc<RouteRule>>,
}

impl QueueTable {
    /// Returns the shared configuration that is equal to `queue`.
    pub(super) fn share(&mut self, queue: &Arc<RouteRule>) -> Arc<RouteRule> {
        if let Some(known) = self.queues.iter().find(|known| *known == queue) {
            return Arc::clone(known);
        }
        // Those of earlier versions go with their last job.
        self.queues.retain(|known| Arc::strong_count(known) > 1);
        self.queues.push(Arc::clone(queue));
        Arc::clone(queue)
    }
}
