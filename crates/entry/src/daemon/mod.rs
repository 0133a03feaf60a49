//! The parts of an entry host put together.

mod entry_daemon;

pub use entry_daemon::run;
