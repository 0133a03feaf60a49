use goldcreststall_core::ids::{LocalTime, Millis};

/// Percentage of the owner's link that start commands may use. The rest carries what must not wait: renewals of the
/// ownership, hold calls, stops, the journal, and the calls of callers.
const LINK_SHARE_PERCENT: u64 = 50;
/// How long the budget accumulates while no start command is issued.
const MAX_ACCUMULATION: Millis = Millis(250);
/// Bytes of a start command besides its text.
const COMMAND_BYTES: u64 = 80;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Token bucket that keeps the start commands of a flood, or of a recovery with a long backlog, from filling the owner's
/// link: on a full link hold calls and renewals time out, work is given up, and its repetition fills the link further.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartBudget {
    /// Bytes per second; `None` for no limit.
    rate: Option<u64>,
    /// Thousandths of a byte.
    available: u64,
    updated: LocalTime,
}

impl StartBudget {
    /// Creates a full budget for a link of this many bytes per second.
    pub(super) fn new(link_rate: u64, now: LocalTime) -> Self {
        let rate = link_rate * LINK_SHARE_PERCENT / 100;
        Self {
            rate: Some(rate),
            available: rate * MAX_ACCUMULATION.0,
            updated: now,
        }
    }

    /// Adds what has accumulated since the last call.
    pub(super) fn refill(&mut self, now: LocalTime) {
        let Some(rate) = self.rate else {
            return;
        };
        let added = rate.saturating_mul(now.since(self.updated).0);
        self.available = self
            .available
            .saturating_add(added)
            .min(rate * MAX_ACCUMULATION.0);
        self.updated = now;
    }

    /// Returns whether another start command may be issued now.
    pub(super) fn is_available(&self) -> bool {
        self.rate.is_none() || self.available > 0
    }

    /// Takes the bytes of a start command; `text_bytes` is the size of the text that it carries, which is 0 when an
    /// earlier command has carried the text of the job. The budget may be overdrawn by one command, so that every command
    /// can be issued at some time.
    pub(super) fn take(&mut self, text_bytes: usize) {
        if self.rate.is_some() {
            let bytes = COMMAND_BYTES + text_bytes as u64;
            self.available = self.available.saturating_sub(bytes * MILLIS_PER_SECOND);
        }
    }
}
