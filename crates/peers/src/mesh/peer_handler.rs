use {
    crate::wire::{Digest, DigestContent, EncodedState, EntriesResponse, FetchEntries},
    async_trait::async_trait,
    goldcreststall_core::ids::EntryName,
    std::sync::Arc,
};

/// What the mesh asks of the program it runs in.
///
/// `receive` and `digest` run on the tasks of the connections and must return within microseconds.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Takes a digest. Digests of one connection come in order; those of several connections of the
    /// same peer may not, and [`crate::decisions::PeerTable`] sorts them out.
    fn receive(&self, digest: Digest);

    /// Returns what `peer` is to be told now. It is called every 200 ms for each connected peer.
    fn digest(&self, peer: &EntryName) -> Arc<DigestContent>;

    /// Answers a peer that lags.
    async fn serve_entries(&self, fetch: FetchEntries) -> EntriesResponse;

    /// Returns the encoded state; none when there is no state yet.
    async fn serve_state(&self) -> Option<EncodedState>;
}
