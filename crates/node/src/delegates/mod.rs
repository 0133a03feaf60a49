//! Delegates: entry hosts that send the owner's commands to a part of the runners.
//!
//! The owner decides alone, but its processor and its link would bound the size of the fleet if it called every runner
//! itself. Each other entry host registers with the owner over a connection of its own. The owner hands it the commands
//! for the runners that [`DelegateTable`] assigns to it, and gets the responses back; many of them share a frame. A
//! command that a delegate does not answer is sent again by the owner itself: runners treat repeated commands as one. A
//! runner that does not answer its delegate is called by the owner itself for a while.

mod bypass_table;
mod command_limiter;
mod delegate_frames;
mod delegate_link;
mod delegate_profile;
mod delegate_registry;
mod delegate_table;
mod delegate_task;
mod delegated_runners;
mod order_age;
mod text_cache;

pub(crate) use delegate_frames::RawRegistration;
pub use {
    command_limiter::{CommandLimiter, MAX_COMMANDS_PER_RUNNER},
    delegate_frames::{DelegateOrder, DelegateOutcome, OrderBody},
    delegate_profile::DelegateProfile,
    delegate_registry::DelegateRegistry,
    delegate_table::{DelegateKey, DelegateTable},
    delegate_task::DelegateTask,
    delegated_runners::DelegatedRunners,
    order_age::{MAX_ORDER_AGE, OrderAge},
};
