//! The owner's state - jobs, runners, hosts and waves - and its reaction to each event.

mod admission;
mod advice_duty;
mod caller_calls;
mod gang_duty;
mod hold_planner;
mod host_duties;
mod host_table;
mod journal_queue;
mod move_duty;
mod owner_command;
mod owner_state;
mod pace_control;
mod placement;
mod ready_items;
mod restore;
mod run_ends;
mod run_table;
mod runner_responses;
mod start_responses;
mod stuck_runs;
mod wave_duty;

pub use {
    caller_calls::{CallId, CallResponse, JobCall},
    host_table::{HostReport, HostResponse, HostStatus, WaveRequest},
    journal_queue::{BatchId, JournalBatch},
    owner_command::{AdviceCommand, OwnerCommand, RunCommand, StartCommand},
    owner_state::{OwnerEvent, OwnerState},
    start_responses::StartResponse,
};
