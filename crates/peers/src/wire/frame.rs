use {
    super::{
        EntriesResponse, FetchEntries, RawDigest, RawFetchState, RawFrame, RawHello, RawState,
        StateChunk, WireError, raw_frame::Body,
    },
    bytes::{Bytes, BytesMut},
    goldcreststall_core::ids::{EntryId, EntryName, Incarnation},
    prost::Message,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Protocol version that this program supports.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum frame size in bytes, without the length prefix. A longer frame closes the connection before it is
/// read.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Size in bytes of the length prefix of a frame.
pub const LENGTH_PREFIX_BYTES: usize = 3;

/// Builds the codec that splits a byte stream into frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// First message of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Sequence number of the first digest on the connection.
    pub first_sequence: u64,
    /// Name and incarnation of the entry host that opened the connection.
    pub from: EntryId,
    /// The entry host that the connection is meant for.
    pub to: EntryName,
}

impl From<Hello> for RawHello {
    fn from(hello: Hello) -> Self {
        Self {
            entry: hello.from.name.into(),
            first_sequence: hello.first_sequence,
            incarnation: hello.from.incarnation.0,
            to: hello.to.into(),
            version: PROTOCOL_VERSION,
        }
    }
}

impl TryFrom<RawHello> for Hello {
    type Error = WireError;

    fn try_from(raw: RawHello) -> Result<Self, WireError> {
        if raw.version != PROTOCOL_VERSION {
            return Err(WireError::UnknownVersion(raw.version));
        }
        Ok(Self {
            first_sequence: raw.first_sequence,
            from: EntryId {
                incarnation: Incarnation(raw.incarnation),
                name: EntryName::try_from(raw.entry)?,
            },
            to: EntryName::try_from(raw.to)?,
        })
    }
}

/// A message whose fields have been validated, except for those of a digest.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Opens a connection.
    Hello(Hello),
    /// An incremental digest, which only the decoder of its connection can interpret.
    Digest(RawDigest),
    /// Requests log entries.
    FetchEntries(FetchEntries),
    /// Response to a request for log entries.
    Entries(EntriesResponse),
    /// Requests the state.
    FetchState,
    /// A chunk of the state, `None` when the peer has no state.
    State(Option<StateChunk>),
}

impl Frame {
    /// Returns the name of the message for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Hello(_) => "Hello",
            Self::Digest(_) => "Digest",
            Self::FetchEntries(_) => "FetchEntries",
            Self::Entries(_) => "Entries",
            Self::FetchState => "FetchState",
            Self::State(_) => "State",
        }
    }

    /// Encodes the message as the content of one frame.
    pub fn encode(self) -> Bytes {
        let body = match self {
            Self::Hello(hello) => Body::Hello(hello.into()),
            Self::Digest(digest) => Body::Digest(digest),
            Self::FetchEntries(fetch) => Body::FetchEntries(fetch.into()),
            Self::Entries(response) => Body::Entries(response.into()),
            Self::FetchState => Body::FetchState(RawFetchState {}),
            Self::State(Some(chunk)) => Body::State(chunk.into()),
            Self::State(None) => Body::State(RawState {
                none: true,
                ..RawState::default()
            }),
        };
        let raw = RawFrame { body: Some(body) };
        raw.encode_to_vec().into()
    }

    /// Decodes the content of one frame.
    ///
    /// # Errors
    /// `WireError` when the bytes are not a valid message.
    pub fn decode(bytes: BytesMut) -> Result<Self, WireError> {
        Self::try_from(RawFrame::decode(bytes.freeze())?)
    }
}

impl TryFrom<RawFrame> for Frame {
    type Error = WireError;

    fn try_from(raw: RawFrame) -> Result<Self, WireError> {
        let body = raw.body;
        let body = body
            .ok_or_else(|| WireError::Malformed("the frame holds no known message".to_owned()))?;
        Ok(match body {
            Body::Hello(hello) => Self::Hello(hello.try_into()?),
            Body::Digest(digest) => Self::Digest(digest),
            Body::FetchEntries(fetch) => Self::FetchEntries(fetch.into()),
            Body::Entries(entries) => Self::Entries(entries.try_into()?),
            Body::FetchState(_) => Self::FetchState,
            Body::State(state) => Self::State(state.try_into()?),
        })
    }
}
