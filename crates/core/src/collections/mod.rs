//! Collections shared by the other modules.

mod sorted_map;

pub use sorted_map::SortedMap;
