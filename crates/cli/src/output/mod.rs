//! Results as tables, JSON and exit codes.

mod change_result;
mod exit_status;
mod human_text;
mod output_format;

pub use exit_status::ExitStatus;
pub(crate) use {change_result::ChangeResult, human_text::HumanText, output_format::OutputFormat};
