use {
    super::{LogOffset, SnapshotChunk, SnapshotId},
    crate::collections::SortedMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// A complete snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Identity of the snapshot.
    pub id: SnapshotId,
    /// Offset of the first ledger entry that the snapshot does not contain.
    pub next: LogOffset,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// What the chunks of one snapshot have in common.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SnapshotKey {
    count: u32,
    hash: u64,
    id: SnapshotId,
    next: LogOffset,
}

/// Assembles the latest complete snapshot from chunks that are read backwards.
///
/// Chunks of several snapshots may be interleaved, repeated or missing. The latest complete snapshot is the
/// one that completes first on the way back, so that the reader stops as early as possible.
#[derive(Debug, Default)]
pub struct SnapshotAssembly {
    parts: SortedMap<SnapshotKey, SortedMap<u32, Vec<u8>>>,
}

impl SnapshotAssembly {
    /// Adds the next chunk on the way back and returns the snapshot when it is complete.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Option<Snapshot> {
        if chunk.index >= chunk.count {
            return None;
        }
        let key = SnapshotKey {
            count: chunk.count,
            hash: chunk.hash,
            id: chunk.id,
            next: chunk.next,
        };
        if !self.parts.contains(&key) {
            self.parts.insert(key, SortedMap::default());
        }
        let parts = self.parts.get_mut(&key)?;
        parts.insert(chunk.index, chunk.bytes);
        if parts.len() < chunk.count as usize {
            return None;
        }
        self.complete(key)
    }

    fn complete(&mut self, key: SnapshotKey) -> Option<Snapshot> {
        let parts = self.parts.remove(&key)?;
        let parts: Vec<&[u8]> = parts.values().map(Vec::as_slice).collect();
        let state = parts.concat();
        // A damaged chunk makes the snapshot unusable; an older one may still be intact.
        (xxh3_64(&state) == key.hash).then_some(Snapshot {
            id: key.id,
            next: key.next,
            state,
        })
    }
}

impl Snapshot {
    /// Reads `chunks`, the newest first, up to the latest complete snapshot.
    pub fn latest(chunks: impl IntoIterator<Item = SnapshotChunk>) -> Option<Self> {
        let mut assembly = SnapshotAssembly::default();
        chunks.into_iter().find_map(|chunk| assembly.add(chunk))
    }
}
