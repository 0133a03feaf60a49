//! Calls of callers: routing to a queue and the way to the owner.

mod front_call;
mod front_desk;
mod owner_courier;

pub use {
    front_call::{FrontAction, FrontAnswer, FrontCall},
    front_desk::FrontDesk,
    owner_courier::OwnerCourier,
};
