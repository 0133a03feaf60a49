use {
    super::{ControlActor, control_messages::UpdateHosts},
    goldcreststall_core::ids::Millis,
    goldcreststall_platform::hosts::HostList,
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// Time between two reads of the host list. Together with the lag of the list it bounds how long a leaving host still
/// gets new work.
const POLL_INTERVAL: Millis = Millis(1_000);

/// Polls the host list until the actor ends.
pub(super) async fn poll_hosts(
    list: Arc<dyn HostList>,
    actor: ActorRef<ControlActor>,
    logger: Logger,
) {
    loop {
        match list.hosts().await {
            Ok(listing) => {
                if actor.tell(UpdateHosts { listing }).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!(logger, "ledger: the list of hosts was not read"; "error" => %error)
            }
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL.0)).await;
    }
}
