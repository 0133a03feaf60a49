//! The control actor: it holds the owner's state and executes the commands that the state decides on.

mod actor_events;
mod command_executor;
mod control_event;
mod owner_actor;
mod owner_term;
mod term_start;
mod waiting_starts;
mod wave_reports;

pub use {
    control_event::ControlEvent,
    owner_actor::{ActorArgs, OwnerActor},
};
