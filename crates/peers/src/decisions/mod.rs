//! Decisions about peers without I/O or a clock; time and random numbers are passed as arguments.

mod backoff;
mod catch_up;
mod digest_pacer;
mod leaving_notices;
mod log_entry_buffer;
mod peer_table;
mod startup_source;

pub use {
    backoff::ReconnectBackoff,
    catch_up::{CatchUp, CatchUpStep, PEER_COOLDOWN, STALL_TIMEOUT},
    digest_pacer::{DIGEST_INTERVAL, DigestPacer, DigestPlan, IDLE_INTERVAL, NODE_BUDGET_BYTES},
    leaving_notices::{LeavingNotices, NoticeResult},
    log_entry_buffer::{LogEntryBuffer, MAX_BUFFER_BYTES, MAX_RESPONSE_BYTES, PushResult},
    peer_table::{PeerDemand, PeerTable, ReceiveResult, SILENCE_TIMEOUT},
    startup_source::{OFFER_TIMEOUT, PeerOffer, Readiness, StartupSource, StartupStep, StateError},
};
