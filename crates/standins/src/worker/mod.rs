//! Stand-in for a worker: an HTTP server that runs fake tasks, which only take time.

mod boot_clock;
mod fake_task;
mod task_table;
mod worker_faults;
mod worker_stand_in;

pub use {
    boot_clock::boot_time,
    fake_task::TaskPlan,
    task_table::{MAX_REFUSED, TaskTable},
    worker_faults::WorkerFaults,
    worker_stand_in::{WorkerSettings, WorkerStandIn},
};
