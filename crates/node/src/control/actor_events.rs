use {
    super::{ControlEvent, OwnerActor},
    crate::journal::RecordReader,
    kameo::actor::WeakActorRef,
};

/// Reads the texts of the jobs of earlier terms page by page and sends them to the actor.
pub(super) async fn send_texts(
    actor: &WeakActorRef<OwnerActor>,
    reader: &RecordReader,
    token: u64,
) {
    let mut after = None;
    loop {
        let (texts, next) = reader.read_texts(after.as_deref()).await;
        let complete = next.is_none();
        let event = ControlEvent::TextsRead {
            token,
            texts,
            complete,
        };
        send_event(actor, event).await;
        if complete {
            return;
        }
        after = next;
    }
}

/// Sends an event to the actor; does nothing once the actor has stopped.
pub(super) async fn send_event(actor: &WeakActorRef<OwnerActor>, event: ControlEvent) {
    if let Some(actor) = actor.upgrade() {
        // Fails only when the process is ending and the actor has stopped.
        let _ = actor.tell(event).await;
    }
}
