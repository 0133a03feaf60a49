use {
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::{RunName, RunStart, StartResponse},
        runners::HoldResponse,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The runner process that a command is meant for, and the fencing token that it carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerEndpoint {
    /// Where the runner takes commands.
    pub address: SocketAddr,
    /// Id of the runner; a process with another id at this address does not execute the command.
    pub id: String,
    /// Fencing token of the command.
    pub token: u64,
    /// Data centre of its host; only the owner needs it.
    #[serde(skip)]
    pub data_centre: String,
}

/// A hold call: a long poll that extends the lease of a runner's work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldCall {
    /// New end of the lease in milliseconds of the runner's clock; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// Highest sequence number of an ended run that this call acknowledges.
    pub last_seen: u64,
    /// Longest wait for a run to end.
    pub wait: Millis,
}

/// Sends commands to runners.
#[async_trait]
pub trait RunnerService: Send + Sync {
    /// Extends the lease of a runner's work and lists that work; `None` without a complete response.
    async fn hold(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse>;

    /// Starts a run of a work item.
    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse;

    /// Stops a run. Returns the runner's clock in milliseconds, or `None` without a response.
    async fn stop(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64>;

    /// Limits a run to a share of its speed, in percent. Returns whether the runner accepted it; a lost command is
    /// repeated by later decisions.
    async fn pace(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool;
}
