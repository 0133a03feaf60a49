//! The interface to workers, which run tasks under leases, and its HTTP client.

mod http_worker_service;
mod job_text;
mod service;
mod worker_endpoint;
mod worker_error;
mod worker_messages;

pub use {
    http_worker_service::{HttpWorkerService, REQUEST_TIMEOUT},
    service::WorkerService,
    worker_endpoint::WorkerEndpoint,
    worker_error::{WorkerError, WorkerRefusal},
    worker_messages::{
        RefusalBody, RenewRequest, StartRequest, TaskOrder, TaskPhase, TaskReport, TaskRequest,
        ThrottleRequest, WorkerStatus,
    },
};
