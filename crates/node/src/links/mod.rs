//! Connections between entry hosts: calls for the owner, one frame each.

mod link_messages;
mod link_server;
mod owner_link;
mod peer_directory;

pub use {
    link_server::LinkServer,
    owner_link::{LinkError, OwnerLink},
    peer_directory::PeerDirectory,
};
