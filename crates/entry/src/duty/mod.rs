//! Planning and execution of the control duties that this entry host holds.

mod duty_command;
mod duty_planner;
mod duty_runner;
mod snapshot_writer;
mod worker_poller;

pub(crate) use {
    duty_command::{DutyCommand, DutyPlan},
    duty_planner::{DutyInput, DutyPlanner},
    duty_runner::DutyRunner,
    snapshot_writer::SnapshotWriter,
    worker_poller::{PolledWorkers, WorkerPoller},
};
