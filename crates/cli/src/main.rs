//! Entry point of the `goldcreststall` command line.

use {
    goldcreststall_cli::{GrpcConnector, Invocation, Terminal, run},
    std::{io, process::ExitCode},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let invocation = Invocation::from_process();
    let mut terminal = Terminal {
        errors: &mut io::stderr(),
        output: &mut io::stdout(),
    };
    run(invocation, &GrpcConnector, &mut terminal).await.into()
}
