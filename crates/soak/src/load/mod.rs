//! Callers: they hand jobs in, cancel some, and ask where they stand.

mod caller_load;
mod job_book;
mod job_draw;

pub use {
    caller_load::CallerLoad,
    job_book::{JobBook, JobEntry, JobKind},
    job_draw::JobDraw,
};
