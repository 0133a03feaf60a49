//! Exchange of state between an entry host and its peers.

mod catch_up_task;
mod peer_feed;
mod peer_gateway;
mod peer_state;
mod state_transfer;

pub(crate) use {
    catch_up_task::CatchUpTask, peer_gateway::PeerGateway, state_transfer::StateTransfer,
};
pub use {peer_feed::PeerFeed, peer_state::PeerState};
