use {
    super::{CloseReason, ConnectionStop, IntakeLimits, IntakeTable, Reservation},
    goldcreststall_core::ids::{LocalTime, Millis},
    parking_lot::Mutex,
    slog::{Logger, warn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Interval at which the time limits are checked; a limit takes effect up to this much later.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Fewest sweeps between two log lines about closed connections, so that a flood writes a line every five seconds.
const SWEEPS_PER_LINE: u32 = 20;

/// What callers make the process hold, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeFigures {
    /// Open connections.
    pub connections: usize,
    /// Bytes that are reserved for bodies.
    pub held_bytes: usize,
    /// How many connections were closed or refused since the last figures, in the order of [`CloseReason::ALL`].
    pub stops: [u64; CloseReason::COUNT],
}

/// Signals to the tasks of one connection.
#[derive(Clone, Debug, Default)]
struct ConnectionSignals {
    close: CancellationToken,
    refuse: CancellationToken,
}

#[derive(Debug)]
struct IntakeState {
    table: IntakeTable,
    /// Sorted by id.
    signals: Vec<(u64, ConnectionSignals)>,
}

impl IntakeState {
    fn send(&self, stop: ConnectionStop) {
        let (ConnectionStop::Close(id, _) | ConnectionStop::Refuse(id, _)) = stop;
        if let Ok(index) = self.signals.binary_search_by_key(&id, |(other, _)| *other) {
            let signals = &self.signals[index].1;
            match stop {
                ConnectionStop::Close(..) => signals.close.cancel(),
                ConnectionStop::Refuse(..) => signals.refuse.cancel(),
            }
        }
    }
}

/// Counts what the connections of a server hold and sheds some under pressure. Clones share their state.
#[derive(Clone, Debug)]
pub struct CallerIntake {
    started: Instant,
    state: Arc<Mutex<IntakeState>>,
}

impl CallerIntake {
    /// Creates an intake without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(IntakeState {
                table: IntakeTable::new(limits),
                signals: Vec::new(),
            })),
        }
    }

    /// Admits a new connection; `None` when it has to be closed at once.
    pub fn open(&self) -> Option<ConnectionIntake> {
        let mut state = self.state.lock();
        let (id, stop) = state.table.open(self.now());
        if let Some(stop) = stop {
            state.send(stop);
        }
        let id = id?;
        let signals = ConnectionSignals::default();
        state.signals.push((id, signals.clone()));
        Some(ConnectionIntake {
            id,
            intake: self.clone(),
            signals,
        })
    }

    /// Sets the time limits on headers, and on connections without a request.
    pub fn set_timeouts(&self, header_timeout: Millis, idle_timeout: Millis) {
        let mut state = self.state.lock();
        state.table.set_timeouts(header_timeout, idle_timeout);
    }

    /// Applies the time limits and reports to `report`, until the future is dropped. Log lines begin with `prefix`.
    pub async fn sweep(
        &self,
        prefix: &'static str,
        logger: &Logger,
        mut report: impl FnMut(IntakeFigures),
    ) {
        let mut reported = [0; CloseReason::COUNT];
        let mut unlogged = [0; CloseReason::COUNT];
        let mut sweeps = 0;
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let figures = self.expire(&mut reported);
            report(figures);
            for (sum, new) in unlogged.iter_mut().zip(figures.stops) {
                *sum += new;
            }
            sweeps += 1;
            if sweeps >= SWEEPS_PER_LINE && is_unusual(&unlogged) {
                let counts =
                    CloseReason::ALL.map(|reason| (reason.name(), unlogged[reason as usize]));
                let counts: Vec<_> = counts.iter().filter(|(_, count)| *count > 0).collect();
                warn!(logger, "{prefix}: connections were closed or refused"; "reasons" => ?counts,
                    "connections" => figures.connections, "held_bytes" => figures.held_bytes);
                unlogged = [0; CloseReason::COUNT];
                sweeps = 0;
            }
        }
    }

    fn expire(&self, reported: &mut [u64; CloseReason::COUNT]) -> IntakeFigures {
        let mut state = self.state.lock();
        let stops = state.table.expire(self.now());
        stops.into_iter().for_each(|stop| state.send(stop));
        let totals = state.table.stops();
        let new = std::array::from_fn(|index| totals[index] - reported[index]);
        *reported = totals;
        IntakeFigures {
            connections: state.table.connections(),
            held_bytes: state.table.held(),
            stops: new,
        }
    }

    fn now(&self) -> LocalTime {
        LocalTime(self.started.elapsed().as_millis() as u64)
    }
}

/// Returns whether connections were closed or refused for a reason other than idleness, which is usual.
fn is_unusual(stops: &[u64; CloseReason::COUNT]) -> bool {
    let mut reasons = CloseReason::ALL.into_iter();
    reasons.any(|reason| reason != CloseReason::Idle && stops[reason as usize] > 0)
}

/// A connection that counts as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionIntake {
    id: u64,
    intake: CallerIntake,
    signals: ConnectionSignals,
}

impl ConnectionIntake {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.signals.close.cancelled().await;
    }

    /// Waits until the request whose body is being read has to be refused.
    pub async fn refused(&self) {
        self.signals.refuse.cancelled().await;
    }

    /// Returns whether the request has to be refused.
    pub fn is_refused(&self) -> bool {
        self.signals.refuse.is_cancelled()
    }

    /// Notes that bytes arrived.
    pub fn receive(&self) {
        self.update(|table, now| table.receive(self.id, now));
    }

    /// Notes that the headers of a request are complete, and that its body has at most `remaining` bytes.
    pub fn begin_body(&self, remaining: usize) {
        self.update(|table, now| table.begin_body(self.id, remaining, now));
    }

    /// Notes that `bytes` of a body arrived.
    pub fn receive_body(&self, bytes: usize) {
        self.update(|table, now| table.receive_body(self.id, bytes, now));
    }

    /// Reserves `bytes` in place of what the request held; returns false when the request is refused.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> bool {
        let mut state = self.intake.state.lock();
        match state.table.reserve(self.id, bytes, self.intake.now()) {
            Reservation::Granted(stops) => {
                stops.into_iter().for_each(|stop| state.send(stop));
                true
            }
            Reservation::Refused => false,
        }
    }

    /// Releases what the request held.
    pub fn release(&self) {
        self.update(|table, _| table.release(self.id));
    }

    /// Notes that the request is complete and is handled.
    pub fn begin_handling(&self) {
        self.update(|table, now| table.begin_handling(self.id, now));
    }

    /// Returns whether the connection is to be closed after its answer.
    pub fn ends_answered(&self) -> bool {
        self.intake.state.lock().table.ends_answered()
    }

    /// Notes that the answer is ready.
    pub fn begin_answer(&self) {
        self.update(|table, now| table.begin_answer(self.id, now));
    }

    /// Notes whether the caller takes no bytes of an answer now.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.update(|table, now| table.set_blocked(self.id, is_blocked, now));
    }

    /// Notes that everything was written to the caller.
    pub fn finish_answer(&self) {
        self.update(|table, now| table.finish_answer(self.id, now));
    }

    fn update(&self, change: impl FnOnce(&mut IntakeTable, LocalTime)) {
        change(&mut self.intake.state.lock().table, self.intake.now());
    }
}

impl Drop for ConnectionIntake {
    fn drop(&mut self) {
        let mut state = self.intake.state.lock();
        state.table.close(self.id);
        let signals = &mut state.signals;
        if let Ok(index) = signals.binary_search_by_key(&self.id, |(id, _)| *id) {
            signals.remove(index);
        }
    }
}
