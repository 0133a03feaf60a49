use {
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::{RunCommand, StartCommand, StartResponse},
        runners::HoldResponse,
    },
    std::net::SocketAddr,
};

/// The lifetime of a runner that a command is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerEndpoint {
    /// Where it takes commands.
    pub address: SocketAddr,
    /// Its id.
    pub id: String,
    /// The owner's token.
    pub token: u64,
}

/// A hold call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HoldCall {
    /// New end of the lease on the runner's clock; none to leave it.
    pub deadline_ms: Option<u64>,
    /// Highest end that is acknowledged.
    pub last_seen: u64,
    /// Longest wait for an end.
    pub wait: Millis,
}

/// The runners.
#[async_trait]
pub trait RunnerService: Send + Sync {
    /// Prolongs the lease of a runner's work and lists it; none without a complete answer.
    async fn hold(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse>;

    /// Starts a work item.
    async fn start(&self, runner: &RunnerEndpoint, command: &StartCommand) -> StartResponse;

    /// Stops a run; returns the reading of the runner's clock, or none without a response.
    async fn stop(&self, runner: &RunnerEndpoint, command: &RunCommand) -> Option<u64>;

    /// Lets a run work at a share of its speed, in percent. A lost command is repeated by later decisions.
    async fn pace(&self, runner: &RunnerEndpoint, command: &RunCommand, percent: u32) -> bool;
}
