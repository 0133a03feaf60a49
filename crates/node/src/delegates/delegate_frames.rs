use {
    super::{
        DelegateProfile,
        text_cache::{SentTexts, TextCache},
    },
    crate::ports::{HoldCall, RunnerEndpoint},
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{RunName, RunStart, StartResponse},
        runners::HoldResponse,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Registration of a delegate, part of the first frame on its connection.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct RawRegistration {
    /// Name of the entry host.
    #[prost(string, tag = "1")]
    name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    data_centre: String,
    /// Thousandths of a core that its process may use.
    #[prost(uint32, tag = "3")]
    cpu: u32,
    /// Megabits per second of its link.
    #[prost(uint32, tag = "4")]
    link_mbps: u32,
}

impl From<&DelegateProfile> for RawRegistration {
    fn from(profile: &DelegateProfile) -> Self {
        Self {
            name: profile.name.clone(),
            data_centre: profile.data_centre.clone(),
            cpu: profile.cpu,
            link_mbps: profile.link_mbps,
        }
    }
}

impl From<RawRegistration> for DelegateProfile {
    fn from(raw: RawRegistration) -> Self {
        Self {
            name: raw.name,
            data_centre: raw.data_centre,
            cpu: raw.cpu,
            link_mbps: raw.link_mbps,
        }
    }
}

/// A frame of the owner: commands for runners.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawOrders {
    /// The latest [`RawOutcomes::sent_ms`] that the owner has received.
    #[prost(uint64, tag = "11")]
    pub(super) echo_ms: u64,
    /// Fencing token of the term.
    #[prost(uint64, tag = "12")]
    pub(super) token: u64,
    /// [`OrderBatch`] in postcard.
    #[prost(bytes = "vec", tag = "13")]
    pub(super) batch: Vec<u8>,
}

/// A frame of a delegate: responses of runners, or none for a heartbeat.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(super) struct RawOutcomes {
    /// Local time of the delegate when the frame was built, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub(super) sent_ms: u64,
    /// Number of each command, and what came of it, in postcard; empty for a heartbeat.
    #[prost(bytes = "vec", tag = "2")]
    pub(super) outcomes: Vec<u8>,
    /// The delegate is shutting down and should get no further commands.
    #[prost(bool, tag = "3")]
    pub(super) leaving: bool,
}

/// Commands of one frame.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct OrderBatch {
    /// Texts of jobs that the delegate does not have yet.
    pub(super) texts: Vec<(JobId, Arc<str>)>,
    /// The commands, each with its number on the connection. Starts lack the text of their job.
    pub(super) orders: Vec<(u64, DelegateOrder)>,
}

/// A command for one runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DelegateOrder {
    /// The runner.
    pub runner: RunnerEndpoint,
    /// What it is told.
    pub body: OrderBody,
}

/// What a runner is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderBody {
    /// Extend the lease of its work and list it.
    Hold(HoldCall),
    /// Start a run.
    Start(RunStart),
    /// Stop a run.
    Stop(RunName),
    /// Limit a run to a share of its speed, in percent.
    Pace(RunName, u32),
}

/// What came of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DelegateOutcome {
    /// Response to a hold call; `None` without a complete one.
    Hold(Option<HoldResponse>),
    /// Response to a start.
    Start(StartResponse),
    /// The runner's clock in milliseconds after a stop; `None` without a response.
    Stop(Option<u64>),
    /// Whether the runner accepted a pace.
    Pace(bool),
    /// The delegate did not send the command: it was too old, or of an owner that has a successor.
    Expired,
}

impl OrderBatch {
    /// Adds a command; the text of a start goes to [`Self::texts`], unless the delegate has it.
    pub(super) fn push(&mut self, number: u64, mut order: DelegateOrder, sent: &mut SentTexts) {
        if let OrderBody::Start(start) = &mut order.body {
            let text = std::mem::replace(&mut start.spec, Arc::from(""));
            if sent.insert(start.name.job) {
                self.texts.push((start.name.job, text));
            }
        }
        self.orders.push((number, order));
    }

    /// Returns the commands with their texts; `None` in place of one whose text is missing.
    pub(super) fn unpack(self, cache: &mut TextCache) -> Vec<(u64, Option<DelegateOrder>)> {
        for (job, text) in self.texts {
            cache.insert(job, text);
        }
        let add_text = |mut order: DelegateOrder| {
            if let OrderBody::Start(start) = &mut order.body {
                start.spec = cache.get(start.name.job)?;
            }
            Some(order)
        };
        let orders = self.orders.into_iter();
        orders
            .map(|(number, order)| (number, add_text(order)))
            .collect()
    }
}
