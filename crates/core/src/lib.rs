//! Decision logic of goldcreststall: configuration, membership, budgets, claims, jobs and traffic policy.
//!
//! Nothing here does I/O, reads a clock or draws random numbers. Time and randomness are arguments, so that
//! every entry host that applies the same log reaches the same state.

pub mod audit;
pub mod capacity;
pub mod claims;
pub mod collections;
pub mod config;
pub mod duties;
pub mod error;
pub mod ids;
pub mod jobs;
pub mod ledger;
pub mod membership;
pub mod observation;
pub mod rollout;
pub mod traffic;
