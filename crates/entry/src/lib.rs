//! The entry host: accepts requests from callers, decides where they run, and performs its share of the control duties.

pub mod clock;
pub mod control;
pub mod daemon;
mod duty;
pub mod logging;
pub mod metrics;
pub mod operating;
pub mod peering;
pub mod settings;
pub mod traffic;
