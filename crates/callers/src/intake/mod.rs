//! Bounds on what callers can make a process hold: connections, and bytes of request bodies.

mod body_intake;
mod caller_intake;
mod intake_limits;
mod intake_table;
mod metered_stream;

pub use {
    body_intake::{BodyStart, read_body, read_start},
    caller_intake::{CallerIntake, ConnectionIntake, IntakeFigures},
    intake_limits::IntakeLimits,
    intake_table::{CloseReason, ConnectionStop, IntakeTable, Reservation},
    metered_stream::MeteredStream,
};
