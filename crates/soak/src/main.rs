//! Command line program of the soak test.

use std::process::ExitCode;

fn main() -> ExitCode {
    goldcreststall_soak::run::main()
}
