use {
    super::{
        DelegateOrder, DelegateOutcome, OrderAge,
        delegate_frames::{OrderBatch, RawOrders},
        text_cache::SentTexts,
    },
    crate::{election::OwnerLease, links::FrameSink},
    bytes::Bytes,
    futures_util::SinkExt,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
    parking_lot::Mutex,
    prost::Message,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

/// Most commands that wait to be written to a connection.
const ORDER_QUEUE_LENGTH: usize = 1_024;
/// Most commands in one frame. With their texts they stay far below the longest frame.
const MAX_FRAME_ORDERS: usize = 64;

/// Time between two frames while there are no commands, so that the delegate notices a connection that has gone silent.
const HEARTBEAT_INTERVAL: Millis = Millis(600);

/// A command that waits to be written.
struct QueuedOrder {
    order: DelegateOrder,
    queued: LocalTime,
    reply: oneshot::Sender<DelegateOutcome>,
}

/// Commands that were written and have no response yet, sorted by number.
#[derive(Debug, Default)]
pub(super) struct PendingOrders {
    replies: Mutex<Vec<(u64, oneshot::Sender<DelegateOutcome>)>>,
}

impl PendingOrders {
    fn add(&self, number: u64, reply: oneshot::Sender<DelegateOutcome>) {
        // Numbers rise, so the vector stays sorted.
        self.replies.lock().push((number, reply));
    }

    /// Passes on the outcomes of commands, and forgets those whose callers have given up.
    pub(super) fn resolve(&self, outcomes: Vec<(u64, DelegateOutcome)>) {
        let mut replies = self.replies.lock();
        for (number, outcome) in outcomes {
            let index = replies.binary_search_by_key(&number, |(other, _)| *other);
            if let Ok(index) = index {
                let (_, reply) = replies.remove(index);
                // Fails only when the caller has given up.
                let _ = reply.send(outcome);
            }
        }
        replies.retain(|(_, reply)| !reply.is_closed());
    }

    /// Drops all commands: their callers send them by another way.
    pub(super) fn clear(&self) {
        self.replies.lock().clear();
    }
}

/// The owner's end of the connection of a delegate.
#[derive(Clone)]
pub(super) struct DelegateLink {
    queue: mpsc::Sender<QueuedOrder>,
    pub(super) pending: Arc<PendingOrders>,
    /// Time of the delegate in its latest frame, in milliseconds.
    pub(super) echo_ms: Arc<AtomicU64>,
}

impl DelegateLink {
    /// Creates the link, and the task that writes its frames, which ends with the connection.
    pub(super) fn spawn(sink: FrameSink, lease: OwnerLease) -> Self {
        let (queue, orders) = mpsc::channel(ORDER_QUEUE_LENGTH);
        let link = Self {
            queue,
            pending: Arc::default(),
            echo_ms: Arc::default(),
        };
        let writer = OrderWriter {
            sink,
            lease,
            pending: Arc::clone(&link.pending),
            echo_ms: Arc::clone(&link.echo_ms),
            last_number: 0,
            sent_texts: SentTexts::default(),
        };
        tokio::spawn(writer.run(orders));
        link
    }

    /// Queues a command; its outcome arrives on the receiver, which fails when the command was not written or the
    /// connection has ended. Returns `None` when the queue is full.
    pub(super) fn send(&self, order: DelegateOrder) -> Option<oneshot::Receiver<DelegateOutcome>> {
        let (reply, outcome) = oneshot::channel();
        let queued = QueuedOrder {
            order,
            queued: BootClock.now(),
            reply,
        };
        self.queue.try_send(queued).ok()?;
        Some(outcome)
    }
}

/// Writes the commands of one delegate.
struct OrderWriter {
    sink: FrameSink,
    lease: OwnerLease,
    pending: Arc<PendingOrders>,
    echo_ms: Arc<AtomicU64>,
    last_number: u64,
    sent_texts: SentTexts,
}

impl OrderWriter {
    async fn run(mut self, mut orders: mpsc::Receiver<QueuedOrder>) {
        let mut queued = Vec::with_capacity(MAX_FRAME_ORDERS);
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL.0);
        loop {
            let receiving = orders.recv_many(&mut queued, MAX_FRAME_ORDERS);
            // Receiving takes no command before it is complete, so that the timeout loses none.
            let frame = match tokio::time::timeout(interval, receiving).await {
                Ok(0) => return,
                Ok(_) => self.pack(&mut queued),
                Err(_) => Some(self.frame(0, &OrderBatch::default())),
            };
            let Some(frame) = frame else {
                continue;
            };
            if self.sink.send(frame).await.is_err() {
                self.pending.clear();
                return;
            }
        }
    }

    /// Builds a frame of the commands that may still be sent; `None` when there are none.
    fn pack(&mut self, queued: &mut Vec<QueuedOrder>) -> Option<Bytes> {
        let now = BootClock.now();
        let lease_held = self.lease.is_held();
        let mut batch = OrderBatch::default();
        let mut token = 0;
        for QueuedOrder {
            order,
            queued,
            reply,
        } in queued.drain(..)
        {
            // The connection may have been blocked, or this process paused, since the command was queued. Dropping
            // the reply tells its caller that it was not sent.
            if !lease_held || !(OrderAge { echoed: queued }).is_current(now) {
                continue;
            }
            self.last_number += 1;
            token = order.runner.token;
            self.pending.add(self.last_number, reply);
            batch.push(self.last_number, order, &mut self.sent_texts);
        }
        if batch.orders.is_empty() {
            return None;
        }
        Some(self.frame(token, &batch))
    }

    /// Builds a frame; without commands it is a heartbeat.
    fn frame(&self, token: u64, batch: &OrderBatch) -> Bytes {
        let raw = RawOrders {
            echo_ms: self.echo_ms.load(Ordering::Relaxed),
            token,
            // The batch holds only plain fields, so serialization cannot fail.
            batch: postcard::to_stdvec(batch).expect("commands are serializable"),
        };
        Bytes::from(raw.encode_to_vec())
    }
}
