//! What an entry host learns at its start, from flags and the environment.

mod entry_settings;
mod setting_rows;

pub use entry_settings::{EntrySettings, SettingsError};
