use {
    super::{
        ControlActor,
        control_messages::{AbandonRecord, ProposeRecord, ReadState},
    },
    crate::{clock::BootClock, peering::PeerState},
    goldcreststall_core::{
        ids::{EntryId, LocalTime, RecordId},
        ledger::{Author, FleetState, LedgerRecord, RecordBody, Rejection},
        traffic::RoutingView,
    },
    goldcreststall_platform::hosts::HostListing,
    kameo::actor::ActorRef,
    std::{sync::Arc, time::Duration},
    tokio::sync::{oneshot, watch},
    uuid::Uuid,
};

/// Why a proposed record is not in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// The fold ignored the record.
    #[error("{0}")]
    Rejected(Rejection),
    /// The record was not read back from the log in time.
    #[error("the log service did not confirm the record in time")]
    Unconfirmed,
}

/// Access to the control thread from other threads.
#[derive(Clone)]
pub struct ControlHandle {
    pub(super) actor: ActorRef<ControlActor>,
    pub(super) peer_state: Arc<PeerState>,
    pub(super) clock: BootClock,
    pub(super) entry: EntryId,
    pub(super) view: watch::Receiver<Option<Arc<RoutingView>>>,
}

impl ControlHandle {
    /// Returns this run of the entry host.
    pub fn entry(&self) -> &EntryId {
        &self.entry
    }

    /// Returns what the peers tell and are told.
    pub fn peer_state(&self) -> &Arc<PeerState> {
        &self.peer_state
    }

    /// Tells whether the log was read lately, so that a record can be expected to be confirmed.
    pub fn log_is_up(&self) -> bool {
        self.peer_state.reads_log()
    }

    /// Returns the routing view in force; `None` before the state is complete.
    pub fn view(&self) -> Option<Arc<RoutingView>> {
        self.view.borrow().clone()
    }

    /// Returns a receiver of routing views.
    pub fn watch_view(&self) -> watch::Receiver<Option<Arc<RoutingView>>> {
        self.view.clone()
    }

    /// Appends a record of this entry host and waits until it was read back from the log.
    ///
    /// # Errors
    /// `Rejected` when the fold ignored it, `Unconfirmed` when it was not read back by `deadline`.
    pub async fn propose(&self, body: RecordBody, deadline: LocalTime) -> Result<(), ProposeError> {
        let record = LedgerRecord {
            author: Author(self.entry.to_string()),
            body,
            id: RecordId(Uuid::now_v7().as_u128()),
        };
        self.propose_record(record, deadline).await
    }

    /// Appends a record with a given author and id, and waits until it was read back from the log.
    ///
    /// # Errors
    /// As [`ControlHandle::propose`].
    pub async fn propose_record(
        &self,
        record: LedgerRecord,
        deadline: LocalTime,
    ) -> Result<(), ProposeError> {
        let (sender, mut receiver) = oneshot::channel();
        let id = record.id;
        let message = ProposeRecord {
            give_up: deadline,
            record,
            result: sender,
        };
        let told = self.actor.tell(message).await;
        told.map_err(|_| ProposeError::Unconfirmed)?;
        let left = Duration::from_millis(deadline.since(self.clock.now()).0);
        match tokio::time::timeout(left, &mut receiver).await {
            Ok(Ok(result)) => result.map_err(ProposeError::Rejected),
            _ => {
                receiver.close();
                // The outcome may have come while the wait ended; a claim must not be lost then.
                if let Ok(result) = receiver.try_recv() {
                    return result.map_err(ProposeError::Rejected);
                }
                // The record may still be accepted, so the actor has to know that nobody waits.
                let _ = self.actor.tell(AbandonRecord { id }).await;
                Err(ProposeError::Unconfirmed)
            }
        }
    }

    /// Reads a part of the state and the list of hosts on the control thread; `None` at shutdown.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&FleetState, &HostListing) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let read = Box::new(move |state: &FleetState, hosts: &HostListing| {
            // The reader may be gone by now.
            let _ = sender.send(read(state, hosts));
        });
        self.actor.tell(ReadState { read }).await.ok()?;
        receiver.await.ok()
    }
}
