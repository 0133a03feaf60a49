use {
    bytes::Bytes,
    goldcreststall_core::ledger::{FleetState, decode_state},
    goldcreststall_platform::hosts::HostListing,
};

/// Size of the length prefix of the host list.
const LIST_LENGTH_BYTES: usize = 4;

/// What an entry host sends to a peer that has no state: the fleet state, and the host list, without which the peer
/// would know the members of each pool but not their addresses.
pub(crate) struct StateTransfer {
    /// The last host list that was read.
    pub(crate) hosts: HostListing,
    pub(crate) state: FleetState,
}

impl StateTransfer {
    /// Encodes a transfer as the length of the host list in 4 bytes, the list as JSON, and the encoded state.
    pub(crate) fn encode(hosts: &HostListing, state: &[u8]) -> Bytes {
        // A list that cannot be encoded is left out; the state is useful without it.
        let list = serde_json::to_vec(hosts).unwrap_or_default();
        let length = u32::try_from(list.len()).unwrap_or_default();
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(list.iter().take(length as usize));
        bytes.extend_from_slice(state);
        Bytes::from(bytes)
    }
}

impl TryFrom<&[u8]> for StateTransfer {
    type Error = String;

    fn try_from(bytes: &[u8]) -> Result<Self, String> {
        let truncated = || "the encoded state is truncated".to_owned();
        let (length, remaining) = bytes
            .split_first_chunk::<LIST_LENGTH_BYTES>()
            .ok_or_else(truncated)?;
        let length = u32::from_be_bytes(*length) as usize;
        let (list, state) = remaining.split_at_checked(length).ok_or_else(truncated)?;
        let hosts = match list {
            [] => HostListing::default(),
            list => serde_json::from_slice(list).map_err(|error| error.to_string())?,
        };
        let state = decode_state(state).map_err(|error| error.to_string())?;
        Ok(Self { hosts, state })
    }
}
