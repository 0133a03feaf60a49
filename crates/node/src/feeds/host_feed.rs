use {
    crate::{
        control::{ControlEvent, OwnerActor},
        election::OwnerLocation,
        ports::HostService,
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_entry::clock::BootClock,
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Shortest time between two reads of the list of hosts.
const MIN_READ_INTERVAL: Millis = Millis(400);
/// Multiple of the time that a read takes after which the list is read again: on a narrow link the list of a large fleet
/// must leave room for the commands.
const READ_TIME_FACTOR: u64 = 15;

/// Reads the list of hosts while this process owns the fleet, until the process ends.
pub async fn follow_hosts(
    service: Arc<dyn HostService>,
    actor: ActorRef<OwnerActor>,
    mut owner: watch::Receiver<Option<OwnerLocation>>,
    logger: Logger,
) {
    while owner.wait_for(OwnerLocation::is_own).await.is_ok() {
        let started = BootClock.now();
        match service.list().await {
            Ok(reports) => {
                // Fails only when the process is ending and the actor has stopped.
                let _ = actor.tell(ControlEvent::HostsListed(reports)).await;
            }
            Err(error) => {
                warn!(logger, "hosts: reading the list failed"; "failure" => %error);
            }
        }
        let read_time = BootClock.now().since(started);
        let interval = MIN_READ_INTERVAL.max(Millis(read_time.0 * READ_TIME_FACTOR));
        tokio::time::sleep(Duration::from_millis(interval.0)).await;
    }
}
