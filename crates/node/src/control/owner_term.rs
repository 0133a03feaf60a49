use {
    super::{start_limiter::StartLimiter, wave_reports::WaveReports},
    crate::journal::JobJournal,
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::owner::{CallId, CallResponse, JobCall, OwnerState},
    tokio::sync::oneshot,
};

/// The running term of this process as owner.
pub(super) struct OwnerTerm {
    /// Fencing token.
    pub(super) token: u64,
    /// Decisions; none until the store was read.
    pub(super) state: Option<OwnerState>,
    /// The journal, while no batch is in flight.
    pub(super) journal: Option<Box<JobJournal>>,
    /// Limits the commands to start that are under way.
    pub(super) limiter: StartLimiter,
    /// Takes the reports of waves.
    pub(super) reports: WaveReports,
    /// Calls that came before the store was read.
    pub(super) queued_calls: Vec<(JobCall, oneshot::Sender<CallResponse>)>,
    /// When the store began to refuse batches or not to answer; none while it takes them.
    pub(super) store_failing_since: Option<LocalTime>,
    /// When the term began.
    pub(super) began: LocalTime,
    /// Calls that wait for their answers.
    pub(super) waiting: WaitingCalls,
}

impl OwnerTerm {
    pub(super) fn new(token: u64, began: LocalTime, reports: WaveReports) -> Self {
        Self {
            token,
            state: None,
            journal: None,
            limiter: StartLimiter::default(),
            reports,
            queued_calls: Vec::new(),
            store_failing_since: None,
            began,
            waiting: WaitingCalls::default(),
        }
    }
}

/// Calls that wait for their answers, by call id.
#[derive(Default)]
pub(super) struct WaitingCalls {
    calls: Vec<(CallId, oneshot::Sender<CallResponse>)>,
    last: u64,
}

impl WaitingCalls {
    /// Numbers a call.
    pub(super) fn add(&mut self, reply: oneshot::Sender<CallResponse>) -> CallId {
        self.last += 1;
        let call_id = CallId(self.last);
        // Tickets rise, so that the vector stays sorted.
        self.calls.push((call_id, reply));
        call_id
    }

    /// Answers a call.
    pub(super) fn send(&mut self, call_id: CallId, response: CallResponse) {
        let index = self
            .calls
            .binary_search_by_key(&call_id, |(call_id, _)| *call_id);
        if let Ok(index) = index {
            let (_, reply) = self.calls.remove(index);
            // A caller that has left needs no response.
            let _ = reply.send(response);
        }
    }
}
