//! Parameters of the read calls.

mod audit_query;
mod list_query;
mod page_limit;

pub use {
    audit_query::{AuditQuery, AuditRange, AuditSubject},
    list_query::{HostQuery, JobQuery, WaveQuery},
    page_limit::PageLimit,
};
