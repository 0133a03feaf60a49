//! The table of commands with their operands and options, the help, and the first step of parsing.

mod command_spec;
mod command_table;
mod help_text;
mod parsed_arguments;

pub use {
    command_spec::{CommandSpec, OperandSpec, OptionSpec, RequiredSettings},
    command_table::COMMANDS,
    help_text::help_text,
};
pub(crate) use {
    command_table::{find_command, group_actions, groups},
    parsed_arguments::{ParseResult, ParsedArguments},
};
