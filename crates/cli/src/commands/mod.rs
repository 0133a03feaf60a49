//! The commands with checked values.

mod command;
mod from_arguments;
mod value_check;

pub(crate) use {
    command::{Command, ReadCommand},
    value_check::ValueCheck,
};
