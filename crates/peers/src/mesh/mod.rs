//! Connections to the other entry hosts.

mod incoming_link;
mod mesh_context;
mod outgoing_link;
mod peer_error;
mod peer_handler;
mod peer_mesh;
mod peer_request;
mod peer_settings;
mod peer_stream;

pub use {
    peer_error::PeerError,
    peer_handler::PeerHandler,
    peer_mesh::PeerMesh,
    peer_settings::{MeshSettings, PeerAddress, PeerSettingError},
    peer_stream::{PeerDialer, PeerStream, TcpDialer},
};
