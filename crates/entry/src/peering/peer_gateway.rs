use {
    super::{PeerBoard, PeerImage},
    crate::control::{ControlActor, FetchLedger, TakeImage},
    goldcreststall_core::ids::EntryName,
    goldcreststall_peers::{
        mesh::PeerHandler,
        wire::{Digest, DigestContent, EncodedState, EntriesResponse, FetchEntries},
    },
    kameo::actor::ActorRef,
    std::sync::Arc,
};

/// Answers the peers from the board and the control state.
pub(crate) struct PeerGateway {
    actor: ActorRef<ControlActor>,
    board: Arc<PeerBoard>,
}

impl PeerGateway {
    pub(crate) fn new(actor: ActorRef<ControlActor>, board: Arc<PeerBoard>) -> Self {
        Self { actor, board }
    }
}

#[async_trait::async_trait]
impl PeerHandler for PeerGateway {
    fn receive(&self, digest: Digest) {
        self.board.receive(digest);
    }

    fn digest(&self, _peer: &EntryName) -> Arc<DigestContent> {
        self.board.content()
    }

    async fn serve_entries(&self, fetch: FetchEntries) -> EntriesResponse {
        let response = self.actor.ask(FetchLedger { fetch }).await;
        response.map_or(EntriesResponse::OtherLog, |reply| reply.0)
    }

    async fn serve_state(&self) -> Option<EncodedState> {
        let image = self.actor.ask(TakeImage).await.ok().flatten();
        image.map(|image| EncodedState {
            bytes: PeerImage::encode(&image.hosts, &image.state),
            position: image.position,
        })
    }
}
