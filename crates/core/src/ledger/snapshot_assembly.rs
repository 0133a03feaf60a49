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

/// The fields that all chunks of one snapshot share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SnapshotHeader {
    count: u32,
    hash: u64,
    id: SnapshotId,
    next: LogOffset,
}

/// Assembles the latest complete snapshot from chunks that are read from the newest to the oldest.
///
/// Chunks of several snapshots may be interleaved, repeated or missing. The latest complete snapshot is the one that is
/// completed first in this order, so that the reader can stop as early as possible.
#[derive(Debug, Default)]
pub struct SnapshotAssembly {
    parts: SortedMap<SnapshotHeader, SortedMap<u32, Vec<u8>>>,
}

impl SnapshotAssembly {
    /// Adds the next older chunk and returns its snapshot if that is now complete.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Option<Snapshot> {
        if chunk.index >= chunk.count {
            return None;
        }
        let header = SnapshotHeader {
            count: chunk.count,
            hash: chunk.hash,
            id: chunk.id,
            next: chunk.next,
        };
        if !self.parts.contains(&header) {
            self.parts.insert(header, SortedMap::default());
        }
        let parts = self.parts.get_mut(&header)?;
        parts.insert(chunk.index, chunk.bytes);
        if parts.len() < chunk.count as usize {
            return None;
        }
        self.complete(header)
    }

    fn complete(&mut self, header: SnapshotHeader) -> Option<Snapshot> {
        let parts = self.parts.remove(&header)?;
        let parts: Vec<&[u8]> = parts.values().map(Vec::as_slice).collect();
        let state = parts.concat();
        // A damaged chunk makes the snapshot unusable; an older one may still be intact.
        (xxh3_64(&state) == header.hash).then_some(Snapshot {
            id: header.id,
            next: header.next,
            state,
        })
    }
}

impl Snapshot {
    /// Reads `chunks`, the newest first, until a snapshot is complete, and returns it.
    pub fn latest(chunks: impl IntoIterator<Item = SnapshotChunk>) -> Option<Self> {
        let mut assembly = SnapshotAssembly::default();
        chunks.into_iter().find_map(|chunk| assembly.add(chunk))
    }
}
