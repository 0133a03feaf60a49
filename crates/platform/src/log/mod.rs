//! The append-only log service of the platform.

mod http_log;
mod log_error;
mod log_service;
mod log_types;

pub use {
    http_log::HttpLog,
    log_error::LogError,
    log_service::LogService,
    log_types::{AppendReceipt, LogBounds, LogStream, RawEntry},
};
