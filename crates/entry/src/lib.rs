//! One entry host: it takes requests of callers, decides where they run, and does its part of the
//! control duties.

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
