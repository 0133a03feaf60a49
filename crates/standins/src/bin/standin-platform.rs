//! Stand-in for the platform: serves the log service and the host list in one process.

use {
    anyhow::Context,
    goldcreststall_core::{ids::Millis, ledger::LogIdentity},
    goldcreststall_standins::{
        hosts::HostsHandler,
        http,
        log::{LogHandler, LogStore},
    },
    lexopt::prelude::*,
    std::sync::Arc,
    tokio::net::TcpListener,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let (mut log, mut hosts, mut lag_ms, mut retention_ms) =
        (String::new(), String::new(), 0, 3_600_000);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("log") => log = parser.value()?.string()?,
            Long("hosts") => hosts = parser.value()?.string()?,
            Long("lag-ms") => lag_ms = parser.value()?.parse()?,
            Long("retention-ms") => retention_ms = parser.value()?.parse()?,
            _ => return Err(argument.unexpected().into()),
        }
    }
    let identity = LogIdentity(u64::from(std::process::id()));
    let store = Arc::new(LogStore::new(identity, retention_ms));
    let listener = TcpListener::bind(&log).await.context("--log IP:PORT")?;
    let log = http::serve(listener, Arc::new(LogHandler::new(store)));
    let listener = TcpListener::bind(&hosts).await.context("--hosts IP:PORT")?;
    let hosts = http::serve(listener, Arc::new(HostsHandler::new(Millis(lag_ms))));
    tokio::join!(log, hosts);
    Ok(())
}
