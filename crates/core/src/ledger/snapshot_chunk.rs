use {
    super::{
        FormatError, LogOffset,
        wire_format::{decode, encode},
    },
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum size of an encoded chunk in bytes.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// Upper bound on the encoded size of a chunk without its part of the state: a format byte and six integers, which take
/// at most 59 bytes together.
const CHUNK_HEADER_BYTES: usize = 128;

/// Identity of a snapshot. Entry hosts that write snapshots at the same time use different ones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct SnapshotId(pub u128);

/// One part of a snapshot, which is one entry of the stream `snapshots`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// xxh3 of the whole encoded state, which detects chunks of different states under one id.
    pub hash: u64,
    /// The snapshot that the chunk belongs to.
    pub id: SnapshotId,
    /// Position of the chunk in the snapshot, from 0.
    pub index: u32,
    /// Offset of the first ledger entry that the snapshot does not contain.
    pub next: LogOffset,
}

/// Splits an encoded state into chunks. An empty state is one empty chunk.
pub fn split_snapshot(id: SnapshotId, next: LogOffset, state: &[u8]) -> Vec<SnapshotChunk> {
    let hash = xxh3_64(state);
    let mut parts: Vec<&[u8]> = state.chunks(MAX_CHUNK_BYTES - CHUNK_HEADER_BYTES).collect();
    if parts.is_empty() {
        parts.push(&[]);
    }
    let count = parts.len() as u32;
    let parts = parts.into_iter().zip(0..);
    parts
        .map(|(bytes, index)| SnapshotChunk {
            bytes: bytes.to_vec(),
            count,
            hash,
            id,
            index,
            next,
        })
        .collect()
}

/// Encodes a chunk for an append; the result has at most [`MAX_CHUNK_BYTES`] bytes.
pub fn encode_chunk(chunk: &SnapshotChunk) -> Vec<u8> {
    encode(chunk)
}

/// Decodes a chunk.
///
/// # Errors
/// `FormatError` when the bytes are corrupt or of another version.
pub fn decode_chunk(bytes: &[u8]) -> Result<SnapshotChunk, FormatError> {
    decode(bytes)
}
