use {
    crate::delegates::RawRegistration,
    tokio::net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// The frames that arrive on a connection.
pub(crate) type FrameStream = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
/// Writes frames to a connection.
pub(crate) type FrameSink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Longest frame without its length prefix; above the longest body of a call.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// A call to the owner. Without a call it is a ping, whose response still names the owner. With a registration it is the
/// only one on its connection, which then carries the frames of [`crate::delegates`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct RawCall {
    /// Number of the call on its connection, from 1; 0 in a ping.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// The call in postcard; empty in a ping.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) call: Vec<u8>,
    /// Registers the sender as a delegate.
    #[prost(message, optional, tag = "3")]
    pub(crate) registration: Option<RawRegistration>,
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

/// Splits a connection into its frames and a writer of frames.
pub(crate) fn split_frames(stream: TcpStream) -> (FrameStream, FrameSink) {
    // Small frames must not wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (
        FramedRead::new(read, frame_codec()),
        FramedWrite::new(write, frame_codec()),
    )
}

/// Builds the codec that splits a byte stream into frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
