//! Boot clock and wall clock of the host.

mod boot_clock;

pub use boot_clock::{BootClock, wall_time};
