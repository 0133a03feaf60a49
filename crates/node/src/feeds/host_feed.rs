use {
    crate::{
        control::{ControlEvent, OwnerActor},
        election::OwnerLocation,
        ports::HostService,
    },
    goldcreststall_core::ids::Millis,
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Time between two reads of the list of hosts.
const READ_INTERVAL: Millis = Millis(400);

/// Reads the list of hosts while this process owns the fleet, until the process ends.
pub async fn follow_hosts(
    service: Arc<dyn HostService>,
    actor: ActorRef<OwnerActor>,
    mut owner: watch::Receiver<Option<OwnerLocation>>,
    logger: Logger,
) {
    while owner.wait_for(OwnerLocation::is_own).await.is_ok() {
        match service.list().await {
            Ok(reports) => {
                // Fails only when the process is ending and the actor has stopped.
                let _ = actor.tell(ControlEvent::HostsListed(reports)).await;
            }
            Err(error) => {
                warn!(logger, "hosts: reading the list failed"; "failure" => %error);
            }
        }
        tokio::time::sleep(Duration::from_millis(READ_INTERVAL.0)).await;
    }
}
