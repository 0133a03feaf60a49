//! What an entry host learns from its peers and tells them.

mod catch_up_task;
mod peer_board;
mod peer_feed;
mod peer_gateway;
mod peer_image;

pub(crate) use {catch_up_task::CatchUpTask, peer_gateway::PeerGateway, peer_image::PeerImage};
pub use {peer_board::PeerBoard, peer_feed::PeerFeed};
