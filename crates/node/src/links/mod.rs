//! Connections between entry hosts: they carry calls to the owner and its responses, one per frame.

mod link_messages;
mod link_server;
mod owner_link;
mod peer_directory;

pub(crate) use link_messages::{FrameSink, FrameStream, RawCall, split_frames};
pub use {
    link_server::LinkServer,
    owner_link::{LinkError, OwnerLink},
    peer_directory::PeerDirectory,
};
