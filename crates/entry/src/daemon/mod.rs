//! Assembles the parts of an entry host and runs them as a daemon.

mod entry_daemon;

pub use entry_daemon::run;
