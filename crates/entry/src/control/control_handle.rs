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

/// Why a proposed record did not take effect, or is not known to have done so.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// The record was read back and ignored when it was applied.
    #[error("{0}")]
    Rejected(Rejection),
    /// The record was not read back from the log in time. It may still be accepted.
    #[error("the log service did not confirm the record in time")]
    Unconfirmed,
}

/// Gives other threads access to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    pub(super) actor: ActorRef<ControlActor>,
    pub(super) peer_state: Arc<PeerState>,
    pub(super) clock: BootClock,
    pub(super) entry: EntryId,
    pub(super) view: watch::Receiver<Option<Arc<RoutingView>>>,
}

impl ControlHandle {
    /// Returns the name and incarnation of this entry host.
    pub fn entry(&self) -> &EntryId {
        &self.entry
    }

    /// Returns the state exchanged with the peers.
    pub fn peer_state(&self) -> &Arc<PeerState> {
        &self.peer_state
    }

    /// Returns whether the log was read recently, so that a proposed record is likely to be confirmed.
    pub fn is_log_available(&self) -> bool {
        self.peer_state.reads_log()
    }

    /// Returns the current routing view; `None` until the state is complete.
    pub fn view(&self) -> Option<Arc<RoutingView>> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified of new routing views.
    pub fn watch_view(&self) -> watch::Receiver<Option<Arc<RoutingView>>> {
        self.view.clone()
    }

    /// Appends a record with this entry host as author and waits until it is read back from the log.
    ///
    /// # Errors
    /// `Rejected` if the record was ignored when applied, `Unconfirmed` if it was not read back by `deadline`.
    pub async fn propose(&self, body: RecordBody, deadline: LocalTime) -> Result<(), ProposeError> {
        let record = LedgerRecord {
            author: Author(self.entry.to_string()),
            body,
            id: RecordId(Uuid::now_v7().as_u128()),
        };
        self.propose_record(record, deadline).await
    }

    /// Appends a record with a given author and id, and waits until it is read back from the log.
    ///
    /// # Errors
    /// Same as [`ControlHandle::propose`].
    pub async fn propose_record(
        &self,
        record: LedgerRecord,
        deadline: LocalTime,
    ) -> Result<(), ProposeError> {
        let (sender, mut receiver) = oneshot::channel();
        let id = record.id;
        let message = ProposeRecord {
            append_deadline: deadline,
            record,
            result: sender,
        };
        let sent = self.actor.tell(message).await;
        sent.map_err(|_| ProposeError::Unconfirmed)?;
        let remaining = Duration::from_millis(deadline.since(self.clock.now()).0);
        match tokio::time::timeout(remaining, &mut receiver).await {
            Ok(Ok(result)) => result.map_err(ProposeError::Rejected),
            _ => {
                receiver.close();
                // The outcome may have arrived just as the wait timed out; an accepted claim must not be lost.
                if let Ok(result) = receiver.try_recv() {
                    return result.map_err(ProposeError::Rejected);
                }
                // The record may still be accepted, so tell the actor that nobody waits for it any more.
                let _ = self.actor.tell(AbandonRecord { id }).await;
                Err(ProposeError::Unconfirmed)
            }
        }
    }

    /// Runs `read` on the control thread with the fleet state and the host list; `None` at shutdown.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&FleetState, &HostListing) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let read = Box::new(move |state: &FleetState, hosts: &HostListing| {
            // The caller may have stopped waiting.
            let _ = sender.send(read(state, hosts));
        });
        self.actor.tell(ReadState { read }).await.ok()?;
        receiver.await.ok()
    }
}
