use tokio_util::codec::LengthDelimitedCodec;

/// Longest frame without its length prefix; above the longest body of a call.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// A call to the owner. Without a call it is a ping, whose response still names the owner.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawCall {
    /// Number of the call on its connection, from 1; 0 in a ping.
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    /// The call in postcard; empty in a ping.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) call: Vec<u8>,
}

/// The response to a call or a ping.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawResponse {
    /// Number of the call that it responds to.
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    /// The response in postcard; empty for a ping.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) response: Vec<u8>,
    /// Fencing token of the newest owner that the sender knows; 0 for none.
    #[prost(uint64, tag = "3")]
    pub(super) owner_token: u64,
    /// Address where that owner serves other entry hosts; empty for none.
    #[prost(string, tag = "4")]
    pub(super) owner_address: String,
}

/// Builds the codec that splits a byte stream into frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
