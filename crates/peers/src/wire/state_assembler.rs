use {
    super::{LogPosition, StateChunk, WireError},
    bytes::{Bytes, BytesMut},
};

/// Largest state that is taken from a peer, in bytes.
pub const MAX_STATE_BYTES: u64 = 256 * 1024 * 1024;

/// An encoded state and how far it follows its log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedState {
    /// The encoded state; never empty.
    pub bytes: Bytes,
    /// How far the state follows its log.
    pub position: LogPosition,
}

/// Puts the chunks of one state together.
///
/// Nothing of a state is handed out before its last chunk has arrived.
#[derive(Debug, Default)]
pub struct StateAssembler {
    bytes: BytesMut,
    head: Option<(LogPosition, u64)>,
}

impl StateAssembler {
    /// Adds a chunk and returns the state when it was the last one.
    ///
    /// # Errors
    /// `WireError` when the chunk does not follow the one before or belongs to another state.
    pub fn add(&mut self, chunk: StateChunk) -> Result<Option<EncodedState>, WireError> {
        if chunk.total > MAX_STATE_BYTES {
            return Err(out_of_range("total", chunk.total));
        }
        let (position, total) = *self.head.get_or_insert((chunk.position, chunk.total));
        if (chunk.position, chunk.total) != (position, total) {
            return Err(WireError::Malformed("a chunk of another state".to_owned()));
        }
        if chunk.offset != self.bytes.len() as u64 {
            return Err(out_of_range("place", chunk.offset));
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if (self.bytes.len() as u64) < total {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes).freeze();
        self.head = None;
        Ok(Some(EncodedState { bytes, position }))
    }
}

fn out_of_range(field: &'static str, value: u64) -> WireError {
    WireError::OutOfRange { field, value }
}
