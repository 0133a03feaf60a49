//! Traits and clients for the services of the platform.

pub mod worker_service;
