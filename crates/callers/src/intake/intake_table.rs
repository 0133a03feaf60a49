use {
    super::IntakeLimits,
    goldcreststall_core::ids::{LocalTime, Millis},
    std::cmp::Reverse,
};

/// Time after which a caller that takes no bytes of its answer counts as one that does not finish its request.
const UNREAD_ANSWER_TIMEOUT: Millis = Millis(3_000);

/// Why a connection was closed, or its request refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CloseReason {
    /// The caller takes no bytes of an answer.
    AnswerUnread,
    /// The budget for bodies is used up, and this body was the slowest to finish.
    BodyBudget,
    /// No byte of the body arrived for too long.
    BodyStalled,
    /// The whole body took too long.
    BodyTimeout,
    /// Too many connections are open.
    Connections,
    /// The headers took too long.
    HeaderTimeout,
    /// No request arrived for too long.
    Idle,
    /// Too many connections have no complete request.
    Incomplete,
}

impl CloseReason {
    /// Number of reasons.
    pub const COUNT: usize = 8;
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; Self::COUNT] = [
        Self::AnswerUnread,
        Self::BodyBudget,
        Self::BodyStalled,
        Self::BodyTimeout,
        Self::Connections,
        Self::HeaderTimeout,
        Self::Idle,
        Self::Incomplete,
    ];

    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerUnread => "answer_unread",
            Self::BodyBudget => "body_budget",
            Self::BodyStalled => "body_stalled",
            Self::BodyTimeout => "body_timeout",
            Self::Connections => "connections",
            Self::HeaderTimeout => "header_timeout",
            Self::Idle => "idle",
            Self::Incomplete => "incomplete",
        }
    }
}

/// How a connection is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionStop {
    /// It is closed; no request of it is being handled.
    Close(u64, CloseReason),
    /// The request whose body is being read is refused, and the connection closed after that answer.
    Refuse(u64, CloseReason),
}

/// Result of a reservation of bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are reserved; these connections make room for them.
    Granted(Vec<ConnectionStop>),
    /// The request is refused: no other one is slower.
    Refused,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionPhase {
    /// Waits for a request; `served` when an earlier one was answered.
    Idle { served: bool },
    /// Headers arrive.
    Head,
    /// A body arrives, of which at most `remaining` bytes are missing.
    Body { received: usize, remaining: usize },
    /// The complete request is handled.
    Handling,
    /// The answer is written; a caller that takes none of its bytes is `blocked`.
    Answering,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionRow {
    id: u64,
    phase: ConnectionPhase,
    /// When the phase began.
    since: LocalTime,
    /// When the last byte of a body arrived.
    progress: LocalTime,
    /// Since when the caller takes no bytes of an answer; `None` while it does.
    blocked: Option<LocalTime>,
    /// Reserved bytes.
    held: usize,
}

impl ConnectionRow {
    fn enter(&mut self, phase: ConnectionPhase, now: LocalTime) {
        self.phase = phase;
        self.since = now;
        self.progress = now;
    }

    /// Returns the expected time to the end of the body: the time without a byte so far, or the time in which the missing
    /// bytes arrive at the mean rate so far, whichever is longer. `None` outside of a body.
    fn body_wait(&self, now: LocalTime) -> Option<u64> {
        let ConnectionPhase::Body {
            received,
            remaining,
        } = self.phase
        else {
            return None;
        };
        let age = now.since(self.since).0;
        let stalled = now.since(self.progress).0;
        let missing = (age.saturating_mul(remaining as u64)).checked_div(received as u64);
        Some(missing.map_or(stalled, |missing| missing.max(stalled)))
    }

    fn is_incomplete(&self) -> bool {
        use ConnectionPhase::{Body, Head, Idle};
        matches!(self.phase, Idle { served: false } | Head | Body { .. })
    }

    /// Returns the order in which connections are shed, largest first; `None` for one that is kept.
    fn shed_order(&self, now: LocalTime) -> Option<(u8, u64)> {
        let age = now.since(self.since).0;
        let blocked = self.blocked.map(|since| now.since(since));
        if let Some(blocked) = blocked.filter(|blocked| *blocked > UNREAD_ANSWER_TIMEOUT) {
            return Some((2, blocked.0));
        }
        match self.phase {
            ConnectionPhase::Idle { served: false } | ConnectionPhase::Head => Some((2, age)),
            ConnectionPhase::Body { .. } => self.body_wait(now).map(|wait| (1, wait)),
            ConnectionPhase::Idle { served: true } => Some((0, age)),
            ConnectionPhase::Answering | ConnectionPhase::Handling => None,
        }
    }
}

/// Connections of callers and what they hold; decides which of them are shed under pressure.
///
/// Designed for 4,000 connections: a decision under pressure looks at each of them once.
#[derive(Debug)]
pub struct IntakeTable {
    limits: IntakeLimits,
    next_id: u64,
    /// Sorted by id.
    rows: Vec<ConnectionRow>,
    held: usize,
    stops: [u64; CloseReason::COUNT],
}

impl IntakeTable {
    /// Creates a table without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            next_id: 1,
            rows: Vec::new(),
            held: 0,
            stops: [0; CloseReason::COUNT],
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> IntakeLimits {
        self.limits
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether an answer ends its connection, because all connections are in use. A complete request is never shed,
    /// so that a caller which sends request after request would otherwise keep its connection from all others.
    pub fn ends_answered(&self) -> bool {
        self.rows.len() >= self.limits.connections
    }

    /// Returns the number of reserved bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns how many connections were closed or refused, in the order of [`CloseReason::ALL`].
    pub fn stops(&self) -> [u64; CloseReason::COUNT] {
        self.stops
    }

    /// Adds a connection. Returns its id, and the connection that makes room for it; no id when none can.
    ///
    /// Shed first are those that have sent no complete request or take no bytes of their answer, the longest wait first;
    /// then those whose bodies take longest to finish; then those that wait for a further request, the longest wait first.
    pub fn open(&mut self, now: LocalTime) -> (Option<u64>, Option<ConnectionStop>) {
        let incomplete = self.rows.iter().filter(|row| row.is_incomplete()).count();
        let reason = if self.rows.len() >= self.limits.connections {
            Some(CloseReason::Connections)
        } else if incomplete >= self.limits.incomplete {
            Some(CloseReason::Incomplete)
        } else {
            None
        };
        let mut stop = None;
        if let Some(reason) = reason {
            let orders = self.rows.iter().filter_map(|row| {
                let order = row.shed_order(now)?;
                Some((order, Reverse(row.id)))
            });
            let Some((_, Reverse(id))) = orders.max() else {
                self.count(reason);
                return (None, None);
            };
            self.count(reason);
            self.close(id);
            stop = Some(ConnectionStop::Close(id, reason));
        }
        let id = self.next_id;
        self.next_id += 1;
        self.rows.push(ConnectionRow {
            id,
            phase: ConnectionPhase::Idle { served: false },
            since: now,
            progress: now,
            blocked: None,
            held: 0,
        });
        (Some(id), stop)
    }

    /// Removes a connection and releases what it holds.
    pub fn close(&mut self, id: u64) {
        if let Ok(index) = self.index(id) {
            self.held -= self.rows.remove(index).held;
        }
    }

    /// Notes that bytes arrived, which begin a request if the connection was idle.
    pub fn receive(&mut self, id: u64, now: LocalTime) {
        if let Some(row) = self.row(id)
            && matches!(row.phase, ConnectionPhase::Idle { .. })
        {
            row.enter(ConnectionPhase::Head, now);
        }
    }

    /// Notes that the headers of a request are complete, and that its body has at most `remaining` bytes.
    pub fn begin_body(&mut self, id: u64, remaining: usize, now: LocalTime) {
        if let Some(row) = self.row(id) {
            let body = ConnectionPhase::Body {
                received: 0,
                remaining,
            };
            row.enter(body, now);
        }
    }

    /// Notes that `bytes` of a body arrived.
    pub fn receive_body(&mut self, id: u64, bytes: usize, now: LocalTime) {
        if let Some(row) = self.row(id)
            && let ConnectionPhase::Body {
                received,
                remaining,
            } = &mut row.phase
        {
            *received += bytes;
            *remaining = remaining.saturating_sub(bytes);
            row.progress = now;
        }
    }

    /// Reserves `bytes` for the request of a connection, in place of what it held. When the budget is used up, the
    /// request whose body is expected to take longest is refused, this one included; requests that are complete are kept.
    pub fn reserve(&mut self, id: u64, bytes: usize, now: LocalTime) -> Reservation {
        let Ok(index) = self.index(id) else {
            return Reservation::Refused;
        };
        let others = self.held - self.rows[index].held;
        let excess = (others + bytes).saturating_sub(self.limits.body_bytes);
        let mut stops = Vec::new();
        let mut freed = 0;
        while freed < excess {
            let waits = self.rows.iter().filter_map(|row| {
                let is_candidate = row.held > 0 || row.id == id;
                let wait = row.body_wait(now).filter(|_| is_candidate)?;
                Some((wait, row.held, Reverse(row.id)))
            });
            let Some((_, held, Reverse(slowest))) = waits.max() else {
                self.refuse(id, CloseReason::BodyBudget, now);
                return Reservation::Refused;
            };
            self.refuse(slowest, CloseReason::BodyBudget, now);
            if slowest == id {
                return Reservation::Refused;
            }
            freed += held;
            stops.push(ConnectionStop::Refuse(slowest, CloseReason::BodyBudget));
        }
        let row = &mut self.rows[index];
        self.held = self.held - row.held + bytes;
        row.held = bytes;
        Reservation::Granted(stops)
    }

    /// Notes that the request is complete and is handled.
    pub fn begin_handling(&mut self, id: u64, now: LocalTime) {
        if let Some(row) = self.row(id) {
            row.enter(ConnectionPhase::Handling, now);
        }
    }

    /// Notes that the answer is ready, and releases what the request held.
    pub fn begin_answer(&mut self, id: u64, now: LocalTime) {
        self.release(id);
        if let Some(row) = self.row(id) {
            row.enter(ConnectionPhase::Answering, now);
        }
    }

    /// Releases what the request of a connection held.
    pub fn release(&mut self, id: u64) {
        if let Ok(index) = self.index(id) {
            self.held -= std::mem::take(&mut self.rows[index].held);
        }
    }

    /// Notes whether the caller takes no bytes of an answer now.
    pub fn set_blocked(&mut self, id: u64, is_blocked: bool, now: LocalTime) {
        if let Some(row) = self.row(id) {
            row.blocked = is_blocked.then(|| row.blocked.unwrap_or(now));
        }
    }

    /// Notes that everything was written to the caller.
    pub fn finish_answer(&mut self, id: u64, now: LocalTime) {
        if let Some(row) = self.row(id)
            && row.phase == ConnectionPhase::Answering
        {
            row.enter(ConnectionPhase::Idle { served: true }, now);
        }
    }

    /// Returns the connections whose time is over, and closes or refuses them.
    pub fn expire(&mut self, now: LocalTime) -> Vec<ConnectionStop> {
        let limits = self.limits;
        let expired = |row: &ConnectionRow| {
            let age = now.since(row.since);
            if row
                .blocked
                .is_some_and(|since| now.since(since) > limits.idle_timeout)
            {
                return Some(ConnectionStop::Close(row.id, CloseReason::AnswerUnread));
            }
            match row.phase {
                ConnectionPhase::Idle { .. } if age > limits.idle_timeout => {
                    Some(ConnectionStop::Close(row.id, CloseReason::Idle))
                }
                ConnectionPhase::Head if age > limits.header_timeout => {
                    Some(ConnectionStop::Close(row.id, CloseReason::HeaderTimeout))
                }
                ConnectionPhase::Body { .. } if now.since(row.progress) > limits.stall_timeout => {
                    Some(ConnectionStop::Refuse(row.id, CloseReason::BodyStalled))
                }
                ConnectionPhase::Body { .. } if age > limits.body_timeout => {
                    Some(ConnectionStop::Refuse(row.id, CloseReason::BodyTimeout))
                }
                _ => None,
            }
        };
        let stops: Vec<ConnectionStop> = self.rows.iter().filter_map(expired).collect();
        for stop in &stops {
            match *stop {
                ConnectionStop::Close(id, reason) => {
                    self.count(reason);
                    self.close(id);
                }
                ConnectionStop::Refuse(id, reason) => self.refuse(id, reason, now),
            }
        }
        stops
    }

    /// Sets the time limits on headers, and on connections without a request.
    pub fn set_timeouts(&mut self, header_timeout: Millis, idle_timeout: Millis) {
        self.limits.header_timeout = header_timeout;
        self.limits.idle_timeout = idle_timeout;
    }

    fn refuse(&mut self, id: u64, reason: CloseReason, now: LocalTime) {
        self.count(reason);
        self.begin_answer(id, now);
    }

    fn count(&mut self, reason: CloseReason) {
        self.stops[reason as usize] += 1;
    }

    fn index(&self, id: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }

    fn row(&mut self, id: u64) -> Option<&mut ConnectionRow> {
        let index = self.index(id).ok()?;
        Some(&mut self.rows[index])
    }
}
