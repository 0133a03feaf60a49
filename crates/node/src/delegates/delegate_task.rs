use {
    super::{
        CommandLimiter, DelegateOrder, DelegateOutcome, DelegateProfile, OrderAge, OrderBody,
        RawRegistration,
        delegate_frames::{OrderBatch, RawOrders, RawOutcomes},
        text_cache::TextCache,
    },
    crate::{
        election::OwnerLocation,
        links::{FrameSink, FrameStream, RawCall, split_frames},
        ports::RunnerService,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
    prost::Message,
    slog::{Logger, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{mpsc, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Longest wait for a connection to the owner.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Delay after a connection that failed or ended.
const RECONNECT_DELAY: Millis = Millis(200);
/// Time between two frames while commands wait for the responses of runners.
const BUSY_INTERVAL: Millis = Millis(150);
/// Time between two frames while there are none.
const IDLE_INTERVAL: Millis = Millis(300);
/// Silence of the owner after which its connection is given up and opened again. It sends a frame at least every 600 ms.
const OWNER_SILENCE_TIMEOUT: Millis = Millis(2_000);
/// Most outcomes that wait to be written.
const OUTCOME_QUEUE_LENGTH: usize = 1_024;
/// Most outcomes in one frame.
const MAX_FRAME_OUTCOMES: usize = 64;

type OutcomeSender = mpsc::Sender<(u64, DelegateOutcome)>;

/// Registers this entry host with the owner, and sends the commands that it gets to runners.
pub struct DelegateTask {
    /// The present owner.
    pub owner: watch::Receiver<Option<OwnerLocation>>,
    /// What this entry host offers.
    pub profile: DelegateProfile,
    /// Client of the runners.
    pub runners: Arc<dyn RunnerService>,
    /// Limits the commands in flight to each runner.
    pub limiter: CommandLimiter,
    /// Cancelled when this process stops: it asks for no further commands.
    pub stop: CancellationToken,
    /// Log of connections.
    pub logger: Logger,
}

impl DelegateTask {
    /// Runs until this process ends.
    pub async fn run(mut self) {
        loop {
            let remote = |owner: &Option<OwnerLocation>| owner.as_ref().is_some_and(|it| !it.own);
            let location = match self.owner.wait_for(remote).await {
                Ok(owner) => owner.clone(),
                Err(_) => return,
            };
            if let Some(location) = location {
                self.serve_owner(&location).await;
            }
            tokio::time::sleep(Duration::from_millis(RECONNECT_DELAY.0)).await;
        }
    }

    async fn serve_owner(&mut self, location: &OwnerLocation) {
        let Some((frames, mut sink)) = connect(location.address).await else {
            info!(self.logger, "delegate: no connection to the owner";
                "address" => %location.address);
            return;
        };
        let raw = RawCall {
            registration: Some(RawRegistration::from(&self.profile)),
            ..RawCall::default()
        };
        if sink.send(Bytes::from(raw.encode_to_vec())).await.is_err() {
            return;
        }
        info!(self.logger, "delegate: registered with the owner"; "address" => %location.address,
            "token" => location.token);
        let reason = self.exchange_frames(location, frames, sink).await;
        info!(self.logger, "delegate: the connection to the owner has ended"; "why" => reason,
            "address" => %location.address);
    }

    /// Executes commands until the connection ends or another process owns the fleet; returns why it stopped.
    async fn exchange_frames(
        &mut self,
        location: &OwnerLocation,
        mut frames: FrameStream,
        mut sink: FrameSink,
    ) -> &'static str {
        let (sender, mut outcomes) = mpsc::channel(OUTCOME_QUEUE_LENGTH);
        let mut texts = TextCache::default();
        let mut waiting: usize = 0;
        let mut last_frame = BootClock.now();
        let mut ready = Vec::with_capacity(MAX_FRAME_OUTCOMES);
        // The owner needs this time before its first command.
        let first = outcome_frame(&mut ready, self.stop.is_cancelled());
        if sink.send(first).await.is_err() {
            return "closed";
        }
        loop {
            let interval = if waiting > 0 {
                BUSY_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            tokio::select! {
                frame = frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        return "closed";
                    };
                    last_frame = BootClock.now();
                    match self.execute_frame(frame, &mut texts, &sender) {
                        Some(count) => waiting += count,
                        None => return "a frame cannot be decoded",
                    }
                    continue;
                }
                count = outcomes.recv_many(&mut ready, MAX_FRAME_OUTCOMES) => {
                    waiting = waiting.saturating_sub(count);
                }
                changed = self.owner.changed() => {
                    let same = |owner: &OwnerLocation| owner.token == location.token;
                    if changed.is_err() || !self.owner.borrow().as_ref().is_some_and(same) {
                        return "the owner has changed";
                    }
                    continue;
                }
                () = tokio::time::sleep(Duration::from_millis(interval.0)) => {}
            }
            if BootClock.now().since(last_frame) > OWNER_SILENCE_TIMEOUT {
                return "silent";
            }
            let frame = outcome_frame(&mut ready, self.stop.is_cancelled());
            if sink.send(frame).await.is_err() {
                return "closed";
            }
        }
    }

    /// Starts to execute the commands of a frame and returns their number; `None` when it cannot be decoded.
    fn execute_frame(
        &self,
        frame: BytesMut,
        texts: &mut TextCache,
        outcomes: &OutcomeSender,
    ) -> Option<usize> {
        let raw = RawOrders::decode(frame)
            .inspect_err(|error| {
                warn!(self.logger, "delegate: a frame cannot be decoded"; "error" => %error);
            })
            .ok()?;
        let batch: OrderBatch = postcard::from_bytes(&raw.batch)
            .inspect_err(|error| {
                warn!(self.logger, "delegate: commands cannot be decoded"; "error" => %error);
            })
            .ok()?;
        let age = OrderAge {
            echoed: LocalTime(raw.echo_ms),
        };
        let is_newest = self
            .owner
            .borrow()
            .as_ref()
            .is_none_or(|owner| owner.token <= raw.token);
        let orders = batch.unpack(texts);
        let count = orders.len();
        for (number, order) in orders {
            let execution = OrderExecution {
                order,
                age,
                is_newest,
                runners: Arc::clone(&self.runners),
                limiter: self.limiter.clone(),
            };
            let outcomes = outcomes.clone();
            tokio::spawn(async move {
                let outcome = execution.run().await;
                // Fails only when the connection has ended.
                let _ = outcomes.send((number, outcome)).await;
            });
        }
        Some(count)
    }
}

/// One command on its way to a runner.
struct OrderExecution {
    /// `None` if the text of its job is missing.
    order: Option<DelegateOrder>,
    age: OrderAge,
    is_newest: bool,
    runners: Arc<dyn RunnerService>,
    limiter: CommandLimiter,
}

impl OrderExecution {
    async fn run(self) -> DelegateOutcome {
        let Some(DelegateOrder { runner, body }) = &self.order else {
            return DelegateOutcome::Expired;
        };
        let _permit = match body {
            OrderBody::Hold(_) => None,
            _ => self.limiter.acquire(&runner.id).await,
        };
        if !self.is_newest || !self.age.is_current(BootClock.now()) {
            return DelegateOutcome::Expired;
        }
        match body {
            OrderBody::Hold(call) => DelegateOutcome::Hold(self.runners.hold(runner, *call).await),
            OrderBody::Start(start) => {
                DelegateOutcome::Start(self.runners.start(runner, start).await)
            }
            OrderBody::Stop(run) => DelegateOutcome::Stop(self.runners.stop(runner, run).await),
            OrderBody::Pace(run, percent) => {
                DelegateOutcome::Pace(self.runners.pace(runner, run, *percent).await)
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<(FrameStream, FrameSink)> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT.0);
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    Some(split_frames(connected.ok()?.ok()?))
}

/// Builds a frame of the outcomes that are ready; without any it is a heartbeat.
fn outcome_frame(ready: &mut Vec<(u64, DelegateOutcome)>, leaving: bool) -> Bytes {
    let outcomes = if ready.is_empty() {
        Vec::new()
    } else {
        // Outcomes hold only plain fields, so serialization cannot fail.
        postcard::to_stdvec(ready).expect("outcomes are serializable")
    };
    ready.clear();
    let raw = RawOutcomes {
        sent_ms: BootClock.now().0,
        outcomes,
        leaving,
    };
    Bytes::from(raw.encode_to_vec())
}
