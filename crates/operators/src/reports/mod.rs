//! Results of the read calls. The reports serialize to the JSON output of the command line.

mod audit_report;
mod config_report;
mod host_report;
mod job_report;
mod pool_report;
mod status_report;
mod wave_report;

pub use {
    audit_report::{AuditPage, AuditReport},
    config_report::ConfigReport,
    host_report::{HostCondition, HostReport},
    job_report::{JobPage, JobReport, JobState},
    pool_report::PoolReport,
    status_report::{DutyReport, PeerReport, RejectionReport, StatusReport},
    wave_report::{WaveReport, WaveState},
};
