use tokio_util::codec::LengthDelimitedCodec;

/// Longest frame without its length, in bytes; above the longest body of a call.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// A call for the owner; without a call it only asks for a sign of life.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawCall {
    /// Number on this connection, from 1.
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    /// The encoded call.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) call: Vec<u8>,
}

/// The response to a call.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawResponse {
    /// Number of the call.
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    /// The encoded answer; empty for a sign of life or a call that cannot be read.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) response: Vec<u8>,
    /// Fencing token of the newest owner that the sender knows; 0 for none.
    #[prost(uint64, tag = "3")]
    pub(super) owner_token: u64,
    /// Where that owner answers.
    #[prost(string, tag = "4")]
    pub(super) owner_address: String,
}

/// Builds the codec that cuts a byte stream into frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
