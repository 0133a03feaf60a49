use {
    crate::journal::{JobJournal, JournalEnd},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
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

/// What the control actor learns. Events of an earlier term name its token and are ignored.
pub enum ControlEvent {
    /// The advice service answered.
    Advised {
        /// Fencing token of the term.
        token: u64,
        /// What was asked.
        command: AdviceCommand,
        /// Approved runners with their tickets; none without a response.
        response: Option<Vec<(String, String)>>,
    },
    /// A batch was stored, or a newer owner writes.
    BatchEnded {
        /// Fencing token of the term.
        token: u64,
        /// The batch.
        batch: BatchId,
        /// How it ended.
        end: JournalEnd,
        /// The journal, for the next batch.
        journal: Box<JobJournal>,
    },
    /// A call about a job.
    Call {
        /// The call.
        call: JobCall,
        /// Takes the response.
        reply: oneshot::Sender<CallResponse>,
    },
    /// The term is over.
    TermEnded,
    /// This process owns the fleet; a fencing token.
    Elected(u64),
    /// The host service answered a command.
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
    /// A runner answered a hold call.
    HoldAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The runner.
        runner: RunnerKey,
        /// When the call was sent.
        sent: LocalTime,
        /// Highest end that the call acknowledged.
        last_seen: u64,
        /// The response; none when it did not come.
        response: Option<HoldResponse>,
    },
    /// The store holds this of earlier terms.
    Restored {
        /// Fencing token of the term.
        token: u64,
        /// The records.
        records: Vec<StoreRecord>,
        /// The journal of the term.
        journal: Box<JobJournal>,
    },
    /// A newer configuration.
    Rules(Arc<FleetRules>),
    /// The list of runners has changed.
    RunnersListed(Vec<RunnerReport>),
    /// A runner answered a command to start.
    StartAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The command.
        command: Box<StartCommand>,
        /// The response.
        response: StartResponse,
    },
    /// A runner answered a command to stop, with the reading of its clock.
    StopAnswered {
        /// Fencing token of the term.
        token: u64,
        /// The command.
        command: RunCommand,
        /// The reading; none without a response.
        clock_ms: Option<u64>,
    },
    /// The store does not take a batch.
    StoreFailing(u64),
    /// Time has passed.
    Tick,
    /// An operator asks for a wave.
    Wave(WaveRequest),
}
