//! The audit trail of membership, waves and configuration: accepted and ignored changes.

mod audit_change;
mod audit_entry;
mod audit_trail;
mod name_table;

pub(crate) use {audit_change::AuditChange, audit_trail::AuditStamp};
pub use {
    audit_change::{AuditAction, AuditSubject, HostCondition},
    audit_entry::{AuditLine, AuditValue, HostSummary},
    audit_trail::{AUDIT_MAX_ENTRIES, AuditTrail},
};
