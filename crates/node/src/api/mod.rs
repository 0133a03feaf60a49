//! Calls of callers: routing to a queue and the way to the owner.

mod api_request;
mod job_api;
mod owner_client;

pub use {
    api_request::{ApiAction, ApiRequest, ApiResponse},
    job_api::JobApi,
    owner_client::OwnerClient,
};
