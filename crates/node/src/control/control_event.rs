use {
    crate::journal::{BatchOutcome, JobJournal},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{
            AdviceCommand, BatchId, CallResponse, HostReport, HostResponse, JobCall, RunCommand,
            StartCommand, StartResponse, WaveRequest,
        },
        records::StoreRecord,
        routes::FleetRules,
        runners::{HoldResponse, RunnerKey, RunnerReport},
    },
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// An event for the control actor. Events of an earlier term carry its token and are ignored.
pub enum ControlEvent {
    /// The call to the advice service ended.
    AdviceReceived {
        /// Fencing token of the term.
        token: u64,
        /// The request.
        command: AdviceCommand,
        /// Approved runners with their tickets; `None` without a response.
        response: Option<Vec<(String, String)>>,
    },
    /// A batch was stored, or the store refused it because a newer owner writes.
    BatchEnded {
        /// Fencing token of the term.
        token: u64,
        /// The batch.
        batch: BatchId,
        /// Whether it was stored.
        outcome: BatchOutcome,
        /// The journal, for the next batch.
        journal: Box<JobJournal>,
    },
    /// A call about a job or a queue.
    Call {
        /// The call.
        call: JobCall,
        /// Receives the response.
        reply: oneshot::Sender<CallResponse>,
    },
    /// The term of this process as owner has ended.
    TermEnded,
    /// This process owns the fleet, with this fencing token.
    Elected(u64),
    /// The call to the host service ended.
    HostAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The host.
        host: String,
        /// The response.
        response: HostResponse,
    },
    /// The list of hosts was read.
    HostsListed(Vec<HostReport>),
    /// A hold call to a runner ended.
    HoldAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The runner.
        runner: RunnerKey,
        /// When the call was sent.
        sent: LocalTime,
        /// Highest sequence number of an ended run that the call acknowledged.
        last_seen: u64,
        /// `None` without a complete response.
        response: Option<HoldResponse>,
    },
    /// The records of earlier terms were read from the store.
    Restored {
        /// Fencing token of the term.
        token: u64,
        /// Records of jobs, in any order.
        records: Vec<StoreRecord>,
        /// The journal of the term.
        journal: Box<JobJournal>,
    },
    /// A newer configuration.
    Rules(Arc<FleetRules>),
    /// The list of runners has changed; the whole list.
    RunnersListed(Vec<RunnerReport>),
    /// The call of a start command ended.
    StartAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The command.
        command: Box<StartCommand>,
        /// The response.
        response: StartResponse,
    },
    /// The call of a stop command ended.
    StopAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The command.
        command: RunCommand,
        /// The runner's clock in milliseconds; `None` without a response.
        clock_ms: Option<u64>,
    },
    /// An attempt to store a batch failed; the fencing token of the term.
    StoreFailing(u64),
    /// A page of the texts of jobs was read from the store.
    TextsRead {
        /// Fencing token of the term.
        token: u64,
        /// The texts.
        texts: Vec<(JobId, String)>,
        /// Whether it was the last page.
        complete: bool,
    },
    /// Makes the decisions that are due.
    Tick,
    /// An operator requested a wave.
    Wave(WaveRequest),
}
