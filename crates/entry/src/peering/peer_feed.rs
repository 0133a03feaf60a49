use {
    super::PeerBoard,
    crate::{control::ControlHandle, traffic::PolicyGate},
    goldcreststall_core::{
        ids::Millis,
        traffic::{LeavingMark, RoutingView, TargetView},
    },
    goldcreststall_peers::wire::ServiceDemand,
    std::{sync::Arc, time::Duration},
};

/// Time between two exchanges with the board; the interval of the digests.
const FEED_INTERVAL: Millis = Millis(200);

/// Carries demand and leaving marks between the traffic policy and the board.
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
        for mark in self.board.peer_marks() {
            self.gate.mark_leaving(&mark);
        }
        // Read before the view, which is published first, so the view is not older.
        let position = self.board.fold_position();
        let view = self.control.view();
        if let Some(view) = &view {
            self.gate.update_view(Arc::clone(view));
        }
        // Before the first view there are neither services nor targets.
        let view = view.unwrap_or_default();
        let mut marks = self.gate.leaving_marks();
        marks.extend(listed_marks(&view));
        let busy = self.gate.busy_hosts();
        self.board
            .set_traffic(self.demand(&view), marks, busy, position);
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

/// Returns marks for the hosts that the list or the log shows as leaving. A peer may be cut off from both.
fn listed_marks(view: &RoutingView) -> impl Iterator<Item = LeavingMark> {
    let targets = view.targets.iter();
    let leaving = targets.filter(|target| target.present && target.leaving);
    leaving.map(TargetView::leaving_mark)
}
