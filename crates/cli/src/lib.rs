//! The command line for operators, `goldcreststall`. See `docs/CLI.md`.

mod arguments;
mod calls;
mod commands;
mod output;
mod run;
mod settings;

pub use {
    arguments::{COMMANDS, CommandNeed, CommandSpec, OperandSpec, OptionSpec, help_text},
    calls::{EntryConnector, GrpcConnector},
    output::ExitStatus,
    run::{Terminal, run},
    settings::{Invocation, Variables},
};
