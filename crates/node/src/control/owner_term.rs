use {
    super::{waiting_starts::WaitingStarts, wave_reports::WaveReports},
    crate::{delegates::CommandLimiter, journal::JobJournal},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::owner::{
        CallId, CallResponse, JobCall, OwnerState, RefusalCounts, WaitCounts,
    },
    std::{collections::VecDeque, sync::Arc},
    tokio::sync::{Semaphore, oneshot},
    tokio_util::sync::CancellationToken,
};

/// How long a call waits until the records of earlier terms were read.
const QUEUE_TIMEOUT: Millis = Millis(1_000);

/// Most start commands in flight to one runner, through all delegates. Each takes a connection; without a limit a flood of
/// jobs opens one for every work item that it starts at a runner, for which small hosts have neither the memory nor the
/// file descriptors.
const MAX_STARTS_PER_RUNNER: usize = 4;
/// Most moves and maintenance commands in flight to the host service. Each takes a connection, and the service answers a
/// limited number of calls per second.
const MAX_HOST_COMMANDS: usize = 16;

/// A term of this process as owner.
pub(super) struct OwnerTerm {
    /// Fencing token of the term.
    pub(super) token: u64,
    /// `None` until the records of earlier terms were read.
    pub(super) state: Option<OwnerState>,
    /// `None` while a batch is being stored, and until the records of earlier terms were read.
    pub(super) journal: Option<Box<JobJournal>>,
    /// Limits the starts in flight to each runner.
    pub(super) limiter: CommandLimiter,
    /// Limits the moves and maintenance commands in flight.
    pub(super) host_limiter: Arc<Semaphore>,
    pub(super) waiting_starts: WaitingStarts,
    /// Waits for capacity near data that the metrics contain already.
    pub(super) counted_waits: WaitCounts,
    /// Refused jobs that the metrics contain already.
    pub(super) counted_refusals: RefusalCounts,
    pub(super) reports: WaveReports,
    /// Calls that arrived before the records of earlier terms were read, in the order of their arrival.
    pub(super) queued_calls: VecDeque<QueuedCall>,
    /// Time of the first failed attempt to store a batch; `None` after a success.
    pub(super) store_failing_since: Option<LocalTime>,
    pub(super) started_at: LocalTime,
    pub(super) waiting: WaitingCalls,
    /// Cancelled with the term: calls to the store that a later owner repeats must not load the link any longer.
    pub(super) stop: CancellationToken,
}

impl Drop for OwnerTerm {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// A call that waits until the records of earlier terms were read.
pub(super) struct QueuedCall {
    pub(super) arrived: LocalTime,
    pub(super) call: JobCall,
    pub(super) reply: oneshot::Sender<CallResponse>,
}

impl OwnerTerm {
    pub(super) fn new(token: u64, started_at: LocalTime, reports: WaveReports) -> Self {
        Self {
            token,
            state: None,
            journal: None,
            limiter: CommandLimiter::new(MAX_STARTS_PER_RUNNER),
            host_limiter: Arc::new(Semaphore::new(MAX_HOST_COMMANDS)),
            waiting_starts: WaitingStarts::default(),
            counted_waits: WaitCounts::default(),
            counted_refusals: RefusalCounts::default(),
            reports,
            queued_calls: VecDeque::new(),
            store_failing_since: None,
            started_at,
            waiting: WaitingCalls::default(),
            stop: CancellationToken::new(),
        }
    }

    /// Refuses the queued calls that have waited too long. They had no effect, so that their callers may retry.
    pub(super) fn refuse_overdue(&mut self, now: LocalTime) {
        let is_overdue = |queued: &QueuedCall| now.since(queued.arrived) > QUEUE_TIMEOUT;
        while self.queued_calls.front().is_some_and(is_overdue) {
            if let Some(QueuedCall { reply, .. }) = self.queued_calls.pop_front() {
                // Fails only when the caller has left.
                let _ = reply.send(CallResponse::Unavailable);
            }
        }
    }
}

/// Calls that wait for their responses, sorted by id.
#[derive(Default)]
pub(super) struct WaitingCalls {
    calls: Vec<(CallId, oneshot::Sender<CallResponse>)>,
    last_id: u64,
}

impl WaitingCalls {
    /// Adds a call and returns its new id.
    pub(super) fn add(&mut self, reply: oneshot::Sender<CallResponse>) -> CallId {
        self.last_id += 1;
        let call_id = CallId(self.last_id);
        // Ids rise, so the vector stays sorted.
        self.calls.push((call_id, reply));
        call_id
    }

    /// Sends the response to a call, if the call still waits.
    pub(super) fn send(&mut self, call_id: CallId, response: CallResponse) {
        let index = self
            .calls
            .binary_search_by_key(&call_id, |(call_id, _)| *call_id);
        if let Ok(index) = index {
            let (_, reply) = self.calls.remove(index);
            // Fails only when the caller has left and needs no response.
            let _ = reply.send(response);
        }
    }
}
