//! The job API: routes the requests of callers to queues and calls the owner.

mod api_head;
mod api_request;
mod job_api;
mod owner_client;

pub use {
    api_head::{ApiHead, PresentedKey},
    api_request::{ApiAction, ApiRequest, ApiResponse},
    job_api::JobApi,
    owner_client::OwnerClient,
};
