//! How requests are sent to targets, and what may be concluded when one fails.

pub mod pool;
pub mod transport;
