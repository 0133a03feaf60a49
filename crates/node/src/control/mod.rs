//! The control actor: it owns the owner's state and carries out what that decides.

mod command_executor;
mod control_event;
mod owner_actor;
mod owner_term;
mod start_limiter;
mod wave_reports;

pub use {
    control_event::ControlEvent,
    owner_actor::{ActorParts, OwnerActor},
};
