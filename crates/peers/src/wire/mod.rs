//! Messages between entry hosts and their encoding.

mod digest;
mod digest_decoder;
mod digest_encoder;
mod frame;
mod raw_messages;
mod state_assembler;
mod transfer;
mod wire_error;

pub use {
    digest::{Digest, DigestContent, LeavingNotice, LogPosition, ServiceDemand},
    digest_decoder::DigestDecoder,
    digest_encoder::{DigestChange, DigestEncoder},
    frame::{Frame, Hello, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION, frame_codec},
    raw_messages::{
        RawDigest, RawEntries, RawEntry, RawFetchEntries, RawFetchState, RawFrame, RawHello,
        RawNotice, RawState, raw_frame,
    },
    state_assembler::{EncodedState, MAX_STATE_BYTES, StateAssembler},
    transfer::{
        EntriesResponse, FetchEntries, MAX_ENTRY_BYTES, STATE_CHUNK_BYTES, StateChunk, StateChunks,
        StoredLogEntry,
    },
    wire_error::WireError,
};
