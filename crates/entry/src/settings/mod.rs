//! Settings of an entry host, from command-line flags and environment variables.

mod entry_settings;
mod setting_specs;

pub use entry_settings::{EntrySettings, SettingsError};
