//! Commands whose arguments have been checked.

mod command;
mod from_arguments;
mod value_validator;

pub(crate) use {
    command::{Command, ReadCommand},
    value_validator::ValueValidator,
};
