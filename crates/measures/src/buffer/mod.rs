//! Size of the joint capacity buffer, compared with the sum of separate buffers.

mod buffer_run;
mod buffer_table;

pub use buffer_table::print_buffer;
