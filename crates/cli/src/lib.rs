//! The `goldcreststall` command line for operators; see `docs/CLI.md`.

mod arguments;
mod calls;
mod commands;
mod output;
mod run;
mod settings;

pub use {
    arguments::{COMMANDS, CommandSpec, OperandSpec, OptionSpec, RequiredSettings, help_text},
    calls::{EntryConnector, GrpcConnector},
    output::ExitStatus,
    run::{Terminal, run},
    settings::{Invocation, Variables},
};
