use {
    super::PeerState,
    crate::{control::ControlHandle, traffic::RequestScheduler},
    goldcreststall_core::{
        ids::Millis,
        traffic::{LeavingNotice, RoutingView, TargetView},
    },
    goldcreststall_peers::wire::ServiceDemand,
    std::{sync::Arc, time::Duration},
};

/// Time between two exchanges with the peer state; equals the interval of the digests.
const FEED_INTERVAL: Millis = Millis(200);

/// Transfers demand, busy hosts and leaving notices between the traffic policy and the peer state.
pub struct PeerFeed {
    peer_state: Arc<PeerState>,
    control: ControlHandle,
    scheduler: Arc<RequestScheduler>,
}

impl PeerFeed {
    /// Creates a feed; [`PeerFeed::run`] starts the exchange.
    pub fn new(
        peer_state: Arc<PeerState>,
        control: ControlHandle,
        scheduler: Arc<RequestScheduler>,
    ) -> Self {
        Self {
            peer_state,
            control,
            scheduler,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        loop {
            self.exchange();
            tokio::time::sleep(Duration::from_millis(FEED_INTERVAL.0)).await;
        }
    }

    fn exchange(&self) {
        for notice in self.peer_state.peer_notices() {
            self.scheduler.mark_leaving(&notice);
        }
        // Read before the view. The control actor publishes the view first, so the view is at least as new.
        let position = self.peer_state.applied_position();
        let view = self.control.view();
        if let Some(view) = &view {
            self.scheduler.update_view(Arc::clone(view));
        }
        // Without a view there are neither services nor targets.
        let view = view.unwrap_or_default();
        let mut notices = self.scheduler.leaving_notices();
        notices.extend(listed_notices(&view));
        let busy = self.scheduler.busy_hosts();
        self.peer_state
            .set_traffic(self.demand(&view), notices, busy, position);
        let demand = self.peer_state.demand(&self.control.entry().name);
        self.scheduler.update_peers(&demand);
    }

    fn demand(&self, view: &RoutingView) -> Vec<ServiceDemand> {
        let rows = view.services.iter().zip(self.scheduler.demand());
        rows.map(|(service, requests)| ServiceDemand {
            requests,
            service: service.name.clone(),
        })
        .collect()
    }
}

/// Returns notices for the hosts that are leaving according to the host list or the log. A peer may be unable to read
/// either.
fn listed_notices(view: &RoutingView) -> impl Iterator<Item = LeavingNotice> {
    let targets = view.targets.iter();
    let leaving = targets.filter(|target| target.present && target.leaving);
    leaving.map(TargetView::leaving_notice)
}
