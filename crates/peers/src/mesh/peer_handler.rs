use {
    crate::wire::{Digest, DigestContent, EncodedState, EntriesResponse, FetchEntries},
    async_trait::async_trait,
    goldcreststall_core::ids::EntryName,
    std::sync::Arc,
};

/// Interface between the mesh and the program that it runs in.
///
/// `receive` and `digest` run on the connection tasks and must return within microseconds.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a digest. Digests of one connection arrive in order, but those of several connections of the
    /// same peer may not; [`crate::decisions::PeerTable`] ignores the stale ones.
    fn receive(&self, digest: Digest);

    /// Returns the current digest content for `peer`. Called every 200 ms for each connected peer.
    fn digest(&self, peer: &EntryName) -> Arc<DigestContent>;

    /// Returns the response to a lagging peer.
    async fn serve_entries(&self, fetch: FetchEntries) -> EntriesResponse;

    /// Returns the encoded state, `None` when there is no state yet.
    async fn serve_state(&self) -> Option<EncodedState>;
}
