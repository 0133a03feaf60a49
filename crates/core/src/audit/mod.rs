//! The audit trail of membership, waves and configuration: accepted and ignored changes.

mod audit_change;
mod audit_record;
mod audit_trail;
mod name_table;

pub(crate) use {audit_change::AuditChange, audit_trail::AuditOrigin};
pub use {
    audit_change::{AuditAction, AuditSubject, HostCondition},
    audit_record::{AuditRecord, AuditValue, HostSummary},
    audit_trail::{AuditTrail, MAX_AUDIT_RECORDS},
};
