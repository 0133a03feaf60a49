use {
    super::PeerBoard,
    crate::{control::ControlHandle, traffic::PolicyGate},
    goldcreststall_core::{
        ids::Millis,
        traffic::{LeavingNotice, RoutingView, TargetView},
    },
    goldcreststall_peers::wire::ServiceDemand,
    std::{sync::Arc, time::Duration},
};

/// Time between two exchanges with the board; the interval of the digests.
const FEED_INTERVAL: Millis = Millis(200);

/// Carries demand and leaving notices between the traffic policy and the board.
pub struct PeerFeed {
    board: Arc<PeerBoard>,
    control: ControlHandle,
    gate: Arc<PolicyGate>,
}

impl PeerFeed {
    /// Creates a feed.
    pub fn new(board: Arc<PeerBoard>, control: ControlHandle, gate: Arc<PolicyGate>) -> Self {
        Self {
            board,
            control,
            gate,
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
        for notice in self.board.peer_notices() {
            self.gate.mark_leaving(&notice);
        }
        // Read before the view, which is published first, so the view is not older.
        let position = self.board.fold_position();
        let view = self.control.view();
        if let Some(view) = &view {
            self.gate.update_view(Arc::clone(view));
        }
        // Before the first view there are neither services nor targets.
        let view = view.unwrap_or_default();
        let mut notices = self.gate.leaving_notices();
        notices.extend(listed_notices(&view));
        let busy = self.gate.busy_hosts();
        self.board
            .set_traffic(self.demand(&view), notices, busy, position);
        let demand = self.board.demand(&self.control.entry().name);
        self.gate.update_peers(&demand);
    }

    fn demand(&self, view: &RoutingView) -> Vec<ServiceDemand> {
        let rows = view.services.iter().zip(self.gate.demand());
        rows.map(|(service, requests)| ServiceDemand {
            requests,
            service: service.name.clone(),
        })
        .collect()
    }
}

/// Returns notices for the hosts that the list or the log shows as leaving. A peer may be cut off from both.
fn listed_notices(view: &RoutingView) -> impl Iterator<Item = LeavingNotice> {
    let targets = view.targets.iter();
    let leaving = targets.filter(|target| target.present && target.leaving);
    leaving.map(TargetView::leaving_notice)
}
