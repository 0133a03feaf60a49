use {
    super::logger,
    goldcreststall_core::ids::Millis,
    goldcreststall_node::{
        election::{ElectionEvent, ElectionTask, OwnerLease, OwnerLocation},
        links::PeerDirectory,
        ports::PlatformStore,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// A process that takes part in the election.
pub struct Candidate {
    pub events: mpsc::UnboundedReceiver<ElectionEvent>,
    pub lease: OwnerLease,
    pub owner: watch::Receiver<Option<OwnerLocation>>,
    pub stop: CancellationToken,
}

/// Starts a candidate that claims `claim_delay` later than others.
pub fn spawn_candidate(
    store: Arc<dyn PlatformStore>,
    port: u16,
    claimant: &str,
    claim_delay: Millis,
) -> Candidate {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let (events, received_events) = mpsc::unbounded_channel();
    let (owner, owner_updates) = watch::channel(None);
    let stop = CancellationToken::new();
    let lease = OwnerLease::default();
    let task = ElectionTask {
        claimant: claimant.to_owned(),
        address,
        store,
        events,
        peers: PeerDirectory::new(address, owner.clone()),
        owner,
        lease: lease.clone(),
        claim_delay,
        stop: stop.clone(),
        logger: logger(),
    };
    tokio::spawn(task.run());
    Candidate {
        events: received_events,
        lease,
        owner: owner_updates,
        stop,
    }
}
