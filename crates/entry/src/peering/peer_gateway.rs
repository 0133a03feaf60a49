use {
    super::{PeerState, StateTransfer},
    crate::control::{ControlActor, EncodeState, FetchLedger},
    goldcreststall_core::ids::EntryName,
    goldcreststall_peers::{
        mesh::PeerHandler,
        wire::{Digest, DigestContent, EncodedState, EntriesResponse, FetchEntries},
    },
    kameo::actor::ActorRef,
    std::sync::Arc,
};

/// Handles digests and requests of peers.
pub(crate) struct PeerGateway {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
}

impl PeerGateway {
    pub(crate) fn new(actor: ActorRef<ControlActor>, peer_state: Arc<PeerState>) -> Self {
        Self { actor, peer_state }
    }
}

#[async_trait::async_trait]
impl PeerHandler for PeerGateway {
    fn receive(&self, digest: Digest) {
        self.peer_state.receive(digest);
    }

    fn digest(&self, _peer: &EntryName) -> Arc<DigestContent> {
        self.peer_state.content()
    }

    async fn serve_entries(&self, fetch: FetchEntries) -> EntriesResponse {
        let response = self.actor.ask(FetchLedger { fetch }).await;
        response.map_or(EntriesResponse::OtherLog, |result| result.0)
    }

    async fn serve_state(&self) -> Option<EncodedState> {
        let encoded = self.actor.ask(EncodeState).await.ok().flatten();
        encoded.map(|encoded| EncodedState {
            bytes: StateTransfer::encode(&encoded.hosts, &encoded.state),
            position: encoded.position,
        })
    }
}
