use super::{FleetState, LedgerRecord};

/// Version of the encoding of records and snapshots, the first byte of each.
const FORMAT_VERSION: u8 = 1;

/// Why bytes cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FormatError {
    /// The bytes are not a valid encoding.
    #[error("the bytes are not a valid encoding: {0}")]
    Corrupt(String),
    /// The bytes were written by another version.
    #[error("format version {0} is not known")]
    UnknownVersion(u8),
}

/// Encodes a batch of records for one append.
pub fn encode_records<'a>(records: impl IntoIterator<Item = &'a LedgerRecord>) -> Vec<u8> {
    let records: Vec<&LedgerRecord> = records.into_iter().collect();
    encode(&records)
}

/// Decodes the records of one log entry.
///
/// # Errors
/// `FormatError` when the bytes are corrupt or of another version.
pub fn decode_records(bytes: &[u8]) -> Result<Vec<LedgerRecord>, FormatError> {
    decode(bytes)
}

/// Encodes a state for a snapshot or a transfer to a peer.
pub fn encode_state(state: &FleetState) -> Vec<u8> {
    encode(state)
}

/// Decodes a state.
///
/// # Errors
/// `FormatError` when the bytes are corrupt or of another version.
pub fn decode_state(bytes: &[u8]) -> Result<FleetState, FormatError> {
    decode(bytes)
}

pub(super) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding to memory fails only for sequences and maps without a known length, which none of the encoded types has.
    postcard::to_extend(value, vec![FORMAT_VERSION]).expect("types have a known length")
}

pub(super) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, FormatError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) => {
            postcard::from_bytes(body).map_err(|error| FormatError::Corrupt(error.to_string()))
        }
        Some((version, _)) => Err(FormatError::UnknownVersion(*version)),
        None => Err(FormatError::Corrupt("no bytes".to_owned())),
    }
}
