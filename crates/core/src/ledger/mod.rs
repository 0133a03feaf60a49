//! The log records and the state of the fleet that results from applying them.

mod fleet_state;
mod ledger_record;
mod recent_ids;
mod rejection;
mod snapshot_assembly;
mod snapshot_chunk;
mod wire_format;

pub use {
    fleet_state::{FleetState, LogEntry, LogIdentity, LogOffset},
    ledger_record::{Author, LedgerRecord, RecordBody},
    recent_ids::{DEDUP_WINDOW, ID_MAX_CLOCK_SKEW, RecordOutcome},
    rejection::Rejection,
    snapshot_assembly::{Snapshot, SnapshotAssembly},
    snapshot_chunk::{
        MAX_CHUNK_BYTES, SnapshotChunk, SnapshotId, decode_chunk, encode_chunk, split_snapshot,
    },
    wire_format::{FormatError, decode_records, decode_state, encode_records, encode_state},
};
