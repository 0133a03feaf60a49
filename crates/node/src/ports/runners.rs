use {
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::{RunOrder, StartAnswer, StartOrder},
        runners::HoldAnswer,
    },
    std::net::SocketAddr,
};

/// The lifetime of a runner that an order is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerPeer {
    /// Where it takes orders.
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
    async fn hold(&self, peer: &RunnerPeer, call: HoldCall) -> Option<HoldAnswer>;

    /// Starts a work item.
    async fn start(&self, peer: &RunnerPeer, order: &StartOrder) -> StartAnswer;

    /// Stops a run; returns the reading of the runner's clock, or none without an answer.
    async fn stop(&self, peer: &RunnerPeer, order: &RunOrder) -> Option<u64>;

    /// Lets a run work at a share of its speed, in percent. A lost order is repeated by later decisions.
    async fn pace(&self, peer: &RunnerPeer, order: &RunOrder, percent: u32) -> bool;
}
