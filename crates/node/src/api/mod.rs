//! The job API: routes the requests of callers to queues and calls the owner.

mod api_head;
mod api_request;
mod job_api;
mod log_text;
mod owner_client;

pub use {
    api_head::{ApiHead, PresentedKey},
    api_request::{ApiAction, ApiRequest, ApiResponse},
    job_api::JobApi,
    log_text::text_start,
    owner_client::OwnerClient,
};
