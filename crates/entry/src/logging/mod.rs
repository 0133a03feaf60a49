//! Construction of the logger.

mod log_format;

pub use log_format::{LogFormat, build_logger, build_stdout_logger};
