use {
    bytes::Bytes,
    goldcreststall_core::ledger::{FleetState, decode_state},
    goldcreststall_platform::hosts::HostListing,
};

/// Bytes of the length that precedes the list of hosts.
const LENGTH_BYTES: usize = 4;

/// What an entry host gives to a peer that has no state: the fold, and the list of hosts, without which
/// the peer would know the members of each pool and none of their addresses.
pub(crate) struct StateTransfer {
    /// The list of hosts as last read.
    pub(crate) hosts: HostListing,
    /// The folded state.
    pub(crate) state: FleetState,
}

impl StateTransfer {
    /// Encodes the list as JSON after its length, and appends the encoded state.
    pub(crate) fn encode(hosts: &HostListing, state: &[u8]) -> Bytes {
        // A list that cannot be encoded is left out; the state alone is of use too.
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
        let short = || "the image is cut short".to_owned();
        let (length, rest) = bytes
            .split_first_chunk::<LENGTH_BYTES>()
            .ok_or_else(short)?;
        let length = u32::from_be_bytes(*length) as usize;
        let (list, state) = rest.split_at_checked(length).ok_or_else(short)?;
        let hosts = match list {
            [] => HostListing::default(),
            list => serde_json::from_slice(list).map_err(|error| error.to_string())?,
        };
        let state = decode_state(state).map_err(|error| error.to_string())?;
        Ok(Self { hosts, state })
    }
}
