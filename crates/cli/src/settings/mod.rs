//! The settings of one run, from options and the environment.

mod entry_settings;
mod invocation;

pub(crate) use entry_settings::Settings;
pub use invocation::{Invocation, Variables};
