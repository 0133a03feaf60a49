//! The remote procedure calls by which operators control a fleet.
//!
//! [`OperatorBackend`] is the interface: the daemon implements it, [`OperatorServer`] serves it over gRPC, and
//! [`OperatorClient`] implements it by calling a server. The types of the interface hold valid values only. The raw
//! messages of the schema are converted inside this package.

mod backend;
mod changes;
mod client;
mod error;
mod queries;
mod reports;
mod server;
mod wire;

/// The raw messages of the schema, and the generated client and server.
pub mod generated;

pub use {
    backend::OperatorBackend,
    changes::{
        ChangeOutcome, ChangeRequest, JobSpec, OperatorChange, OperatorName, SeenHostVersion,
    },
    client::OperatorClient,
    error::{ErrorMapping, FieldMistake, OperatorError, OperatorErrorKind},
    queries::{AuditQuery, AuditRange, AuditSubject, HostQuery, JobQuery, PageLimit, WaveQuery},
    reports::{
        AuditPage, AuditReport, ConfigReport, DutyReport, HostCondition, HostReport, JobPage,
        JobReport, JobState, PeerReport, PoolReport, RejectionReport, StatusReport, WaveReport,
        WaveState,
    },
    server::OperatorServer,
    wire::{Survive, Urgency},
};
