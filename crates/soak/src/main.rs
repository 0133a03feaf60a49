//! The command of the fault soak.

use std::process::ExitCode;

fn main() -> ExitCode {
    goldcreststall_soak::run::main()
}
