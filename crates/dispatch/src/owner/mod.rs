//! The owner's state - jobs, runners, hosts and waves - and its reaction to each event.

mod admission;
mod dormant_jobs;
mod early_terms;
mod evacuation;
mod fair_order;
mod gang_placement;
mod hold_planner;
mod host_commands;
mod host_moves;
mod host_table;
mod instance_change;
mod job_calls;
mod job_memory;
mod journal_queue;
mod learned_durations;
mod lease_evidence;
mod locality_state;
mod locality_waits;
mod owner_command;
mod owner_state;
mod pace_control;
mod placement;
mod pool_recovery;
mod queue_table;
mod quotas;
mod rack_forecasts;
mod ready_items;
mod restart_table;
mod restore;
mod run_ends;
mod run_table;
mod runner_advice;
mod runner_choice;
mod runner_responses;
mod speculation;
mod start_budget;
mod start_commands;
mod start_responses;
mod stuck_runs;
mod submission_limit;
mod unplaced_serving;
mod unservable_work;
mod wave_control;
mod wave_room;

pub use {
    host_table::{HostReport, HostResponse, HostStatus, WaveRequest},
    job_calls::{CallId, CallResponse, JobCall},
    job_memory::JobMemoryLimit,
    journal_queue::{BatchId, JournalBatch},
    locality_state::WaitCounts,
    owner_command::{AdviceCommand, OwnerCommand, RunCommand, RunName, RunStart, StartCommand},
    owner_state::{OwnerEvent, OwnerState},
    start_responses::StartResponse,
    submission_limit::{RefusalCounts, RefusalReason},
};
