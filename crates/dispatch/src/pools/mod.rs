//! How many hosts each pool should have, and which hosts move.

mod pool_planner;

pub use pool_planner::{HostMove, PoolFigures, plan_moves};
