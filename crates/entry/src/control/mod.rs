//! The control thread: it folds the log, appends records and publishes the routing view.

mod append_queue;
mod control_actor;
mod control_handle;
mod control_messages;
mod control_thread;
mod hosts_poll;
mod log_tail;
mod view_builder;

pub use {
    control_actor::{ControlActor, ControlArgs},
    control_handle::{ControlHandle, ProposeError},
    control_thread::{ControlPorts, ControlThread},
};
