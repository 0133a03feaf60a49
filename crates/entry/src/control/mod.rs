//! The control thread: applies the log to the fleet state, appends records and publishes the routing view.

mod append_queue;
mod control_actor;
mod control_handle;
mod control_messages;
mod control_thread;
mod hosts_poll;
mod log_tail;
mod proposal_table;
mod snapshot_reader;
mod view_builder;

pub(crate) use control_messages::{
    ApplyEntries, EncodeState, FetchLedger, GetPosition, LoadState, PlanDuties, ReadHosts,
    StateOrigin, UpdateHosts,
};
pub use {
    control_actor::{ControlActor, ControlArgs},
    control_handle::{ControlHandle, ProposeError},
    control_thread::{ControlSetup, ControlThread},
};
