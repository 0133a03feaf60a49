//! Stand-in for targets: one process serves one or more of them.

use {
    anyhow::Context,
    goldcreststall_core::ids::HostName,
    goldcreststall_standins::{http, target::TargetHandler},
    lexopt::prelude::*,
    std::sync::Arc,
    tokio::net::TcpListener,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let (mut targets, mut slots) = (Vec::new(), 8);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("target") => targets.push(parser.value()?.string()?),
            Long("slots") => slots = parser.value()?.parse()?,
            _ => return Err(argument.unexpected().into()),
        }
    }
    let mut tasks = tokio::task::JoinSet::new();
    for target in targets {
        let (name, address) = target.split_once('=').context("--target NAME=IP:PORT")?;
        let name = HostName::try_from(name)?;
        let listener = TcpListener::bind(address)
            .await
            .context("--target NAME=IP:PORT")?;
        tasks.spawn(http::serve(
            listener,
            Arc::new(TargetHandler::new(name, slots)),
        ));
    }
    tasks.join_all().await;
    Ok(())
}
