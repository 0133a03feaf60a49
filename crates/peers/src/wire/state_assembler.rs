use {
    super::{LogPosition, StateChunk, WireError},
    bytes::{Bytes, BytesMut},
};

/// Maximum size in bytes of a state that is accepted from a peer.
pub const MAX_STATE_BYTES: u64 = 256 * 1024 * 1024;

/// An encoded state and its log position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedState {
    /// The encoded state, never empty.
    pub bytes: Bytes,
    /// How far the log has been applied to the state.
    pub position: LogPosition,
}

/// Assembles a state from its chunks.
///
/// No part of a state is returned before its last chunk has arrived.
#[derive(Debug, Default)]
pub struct StateAssembler {
    bytes: BytesMut,
    /// Log position and size in bytes of the state that is being assembled.
    header: Option<(LogPosition, u64)>,
}

impl StateAssembler {
    /// Adds a chunk and returns the state if the chunk was the last one.
    ///
    /// # Errors
    /// `WireError` when the chunk does not follow the previous one, belongs to another state, or announces a
    /// state larger than `MAX_STATE_BYTES`.
    pub fn add(&mut self, chunk: StateChunk) -> Result<Option<EncodedState>, WireError> {
        if chunk.total > MAX_STATE_BYTES {
            return Err(out_of_range("total", chunk.total));
        }
        let (position, total) = *self.header.get_or_insert((chunk.position, chunk.total));
        if (chunk.position, chunk.total) != (position, total) {
            return Err(WireError::Malformed(
                "the chunk belongs to another state".to_owned(),
            ));
        }
        if chunk.offset != self.bytes.len() as u64 {
            return Err(out_of_range("offset", chunk.offset));
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if (self.bytes.len() as u64) < total {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes).freeze();
        self.header = None;
        Ok(Some(EncodedState { bytes, position }))
    }
}

fn out_of_range(field: &'static str, value: u64) -> WireError {
    WireError::OutOfRange { field, value }
}
