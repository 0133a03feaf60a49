//! Decisions about peers, without I/O and without a clock: time and randomness are arguments.

mod backoff;
mod catch_up;
mod digest_pacer;
mod leaving_notices;
mod log_entry_buffer;
mod peer_table;
mod startup_source;

pub use {
    backoff::ReconnectBackoff,
    catch_up::{CatchUp, CatchUpStep, PEER_REST, STALL_LIMIT},
    digest_pacer::{DIGEST_INTERVAL, DigestPacer, IDLE_INTERVAL, NODE_BUDGET_BYTES, Pace},
    leaving_notices::{LeavingNotices, NoticeResult},
    log_entry_buffer::{LogEntryBuffer, MAX_BUFFER_BYTES, PushResult, RESPONSE_BYTES},
    peer_table::{PeerDemand, PeerTable, Receipt, SILENCE_TIMEOUT},
    startup_source::{
        OFFER_TIMEOUT, PeerOffer, Readiness, StartupSource, StartupStep, StateRefusal,
    },
};
