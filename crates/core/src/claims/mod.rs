//! Claims of non-idempotent requests, under which each request key runs at most once.

mod claim_ledger;
mod issued_keys;

pub use {
    claim_ledger::{CLAIM_MAX_AGE, CLAIM_MAX_CLOCK_SKEW, ClaimLedger, ClaimRecord, ClaimStatus},
    issued_keys::{IssuedKeys, KeyUse},
};
