//! Decisions about peers, without I/O and without a clock: time and randomness are arguments.

mod backoff;
mod catch_up;
mod digest_pacer;
mod entry_relay;
mod leaving_marks;
mod peer_table;
mod start_choice;

pub use {
    backoff::ReconnectBackoff,
    catch_up::{CatchUp, CatchUpStep, PEER_REST, STALL_LIMIT},
    digest_pacer::{DIGEST_INTERVAL, DigestPacer, IDLE_INTERVAL, NODE_BUDGET_BYTES, Pace},
    entry_relay::{ANSWER_BYTES, EntryRelay, RELAY_BYTES, RelayPush},
    leaving_marks::{LeavingMarks, MarkResult},
    peer_table::{PeerDemand, PeerTable, Receipt, SILENCE_LIMIT},
    start_choice::{PeerOffer, Readiness, START_PATIENCE, StartChoice, StartStep, StateRefusal},
};
