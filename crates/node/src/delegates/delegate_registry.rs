use {
    super::{
        DelegateKey, DelegateOrder, DelegateOutcome, DelegateProfile, DelegateTable, OrderBody,
        delegate_frames::RawOutcomes, delegate_link::DelegateLink, delegate_table::CONTACT_TIMEOUT,
    },
    crate::{
        election::OwnerLease,
        links::{FrameSink, FrameStream},
    },
    bytes::BytesMut,
    futures_util::StreamExt,
    goldcreststall_core::ids::Millis,
    goldcreststall_entry::clock::BootClock,
    parking_lot::Mutex,
    prost::Message,
    slog::{Logger, info, warn},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Silence after which the connection of a delegate is closed.
const SILENCE_TIMEOUT: Millis = Millis(2_000);

#[derive(Default)]
struct RegisteredLinks {
    table: DelegateTable,
    /// Sorted by key.
    links: Vec<(DelegateKey, DelegateLink)>,
}

impl RegisteredLinks {
    fn remove(&mut self, key: DelegateKey) {
        self.table.remove(key);
        self.links.retain(|(other, _)| *other != key);
    }
}

/// The delegates that are registered with this process.
#[derive(Clone)]
pub struct DelegateRegistry {
    links: Arc<Mutex<RegisteredLinks>>,
    lease: OwnerLease,
    logger: Logger,
}

impl DelegateRegistry {
    /// Creates an empty registry. Commands are written only while `lease` is held.
    pub fn new(lease: OwnerLease, logger: Logger) -> Self {
        Self {
            links: Arc::default(),
            lease,
            logger,
        }
    }

    /// Returns whether the present owner is this process, as far as its lease tells.
    pub(super) fn is_lease_held(&self) -> bool {
        self.lease.is_held()
    }

    /// Serves the connection of a delegate until it ends.
    pub(crate) async fn serve(
        &self,
        profile: DelegateProfile,
        mut frames: FrameStream,
        sink: FrameSink,
    ) {
        let name = profile.name.clone();
        let link = DelegateLink::spawn(sink, self.lease.clone());
        let key = self.insert(profile, link.clone());
        info!(self.logger, "delegate: registered"; "delegate" => &name);
        let reason = loop {
            let contact_timeout = Duration::from_millis(CONTACT_TIMEOUT.0);
            let frame = match tokio::time::timeout(contact_timeout, frames.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(_) => break "closed",
                Err(_) => {
                    link.pending.clear();
                    let patience = Duration::from_millis(SILENCE_TIMEOUT.0) - contact_timeout;
                    match tokio::time::timeout(patience, frames.next()).await {
                        Ok(Some(Ok(frame))) => frame,
                        Ok(_) => break "closed",
                        Err(_) => break "silent",
                    }
                }
            };
            if let Err(error) = self.handle_frame(key, &link, frame) {
                warn!(self.logger, "delegate: a frame cannot be decoded"; "delegate" => &name,
                    "error" => %error);
                break "a frame cannot be decoded";
            }
        };
        self.links.lock().remove(key);
        link.pending.clear();
        info!(self.logger, "delegate: the connection has ended"; "delegate" => name,
            "why" => reason);
    }

    fn insert(&self, profile: DelegateProfile, link: DelegateLink) -> DelegateKey {
        let mut links = self.links.lock();
        let key = links.table.insert(profile, BootClock.now());
        // Keys rise, so the vector stays sorted.
        links.links.push((key, link));
        key
    }

    fn handle_frame(
        &self,
        key: DelegateKey,
        link: &DelegateLink,
        frame: BytesMut,
    ) -> anyhow::Result<()> {
        let raw = RawOutcomes::decode(frame)?;
        link.echo_ms.store(raw.sent_ms, Ordering::Relaxed);
        self.links
            .lock()
            .table
            .record_contact(key, raw.leaving, BootClock.now());
        if !raw.outcomes.is_empty() {
            let outcomes: Vec<(u64, DelegateOutcome)> = postcard::from_bytes(&raw.outcomes)?;
            link.pending.resolve(outcomes);
        }
        Ok(())
    }

    /// Hands a command to the delegate of its runner, or a start to the delegate of its job; `None` when there is none
    /// that can take it.
    pub(super) fn send(&self, order: DelegateOrder) -> Option<oneshot::Receiver<DelegateOutcome>> {
        let links = self.links.lock();
        let now = BootClock.now();
        let runner = &order.runner;
        let key = match &order.body {
            OrderBody::Start(start) => links.table.for_job(start.name.job, now),
            _ => links.table.for_runner(&runner.id, &runner.data_centre, now),
        }?;
        let index = links
            .links
            .binary_search_by_key(&key, |(other, _)| *other)
            .ok()?;
        links.links[index].1.send(order)
    }
}
