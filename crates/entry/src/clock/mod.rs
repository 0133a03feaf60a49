//! Clocks of the host.

mod boot_clock;

pub use boot_clock::{BootClock, wall_time};
