use {
    crate::wire::DigestChange,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Interval at which a digest can be sent on a connection.
pub const DIGEST_INTERVAL: Millis = Millis(200);
/// Maximum time between digests. Two consecutive lost digests still leave a gap below the silence timeout of
/// 2 s.
pub const IDLE_INTERVAL: Millis = Millis(600);
/// Bytes of digest frames that an entry host sends per second to all its peers together.
///
/// A node may use 8 KB/s for control traffic. Its peers send as much to it as it sends to them, so half of
/// that remains for sending.
pub const NODE_BUDGET_BYTES: u32 = 4_000;

/// Number of intervals after an urgent digest at which a digest is sent in any case, so that the loss of the
/// urgent one is detected at once.
const URGENT_REPEATS: u32 = 3;
/// Timers fire some milliseconds late; a digest that is due within this time is sent at once.
const TIMER_TOLERANCE: Millis = Millis(100);
/// Units of credit per byte. Credit is counted in thousandths of a byte because it accrues per millisecond.
const CREDIT_PER_BYTE: u64 = 1_000;

/// What to send on a connection at the current interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestPlan {
    /// No digest.
    Skip,
    /// A digest without changes in demand.
    WithoutDemand,
    /// A digest with all changes.
    Full,
}

/// Decides at each interval whether to send a digest on one connection.
///
/// Urgent changes are sent at the next interval regardless of the budget. Changes in demand wait while the
/// budget of the connection is used up. A digest is sent at the idle interval in any case.
#[derive(Debug)]
pub struct DigestPacer {
    /// In thousandths of a byte; negative after a digest that cost more than the remaining credit.
    credit: i64,
    /// When credit was last added.
    last_credited: LocalTime,
    /// Bytes per second.
    rate: u32,
    /// Intervals left, after an urgent digest, at which a digest is sent in any case.
    repeats_left: u32,
    last_sent: Option<LocalTime>,
}

impl DigestPacer {
    /// Creates the pacer for a new connection of an entry host with `peers` peers.
    pub fn new(now: LocalTime, node_budget_bytes: u32, peers: usize) -> Self {
        let peers = u32::try_from(peers.max(1)).unwrap_or(u32::MAX);
        let rate = node_budget_bytes / peers;
        Self {
            credit: max_credit(rate),
            last_credited: now,
            rate,
            repeats_left: 0,
            last_sent: None,
        }
    }

    /// Decides what to send at `now`.
    pub fn plan(&mut self, now: LocalTime, change: DigestChange) -> DigestPlan {
        self.accrue(now);
        let Some(last_sent) = self.last_sent else {
            self.repeats_left = URGENT_REPEATS;
            return DigestPlan::Full;
        };
        let is_due =
            self.repeats_left > 0 || now.since(last_sent).0 + TIMER_TOLERANCE.0 >= IDLE_INTERVAL.0;
        self.repeats_left = match change {
            DigestChange::Urgent => URGENT_REPEATS,
            _ => self.repeats_left.saturating_sub(1),
        };
        let has_credit = self.credit > 0;
        match change {
            DigestChange::Minor if !is_due => DigestPlan::Skip,
            DigestChange::Demand if !is_due && !has_credit => DigestPlan::Skip,
            _ if has_credit => DigestPlan::Full,
            _ => DigestPlan::WithoutDemand,
        }
    }

    /// Deducts the cost of a digest that was sent at `now`.
    pub fn charge(&mut self, now: LocalTime, bytes: usize) {
        let mut cost = i64::try_from(bytes as u64 * CREDIT_PER_BYTE).unwrap_or(i64::MAX);
        if self.last_sent.is_none() {
            // The first digest of a connection names every service. Charged in full, it would delay changes
            // in demand by 8 s with 42 entry hosts.
            cost = cost.min(max_credit(self.rate));
        }
        self.credit = self.credit.saturating_sub(cost);
        self.last_sent = Some(now);
    }

    fn accrue(&mut self, now: LocalTime) {
        let accrued = now
            .since(self.last_credited)
            .0
            .saturating_mul(u64::from(self.rate));
        let accrued = i64::try_from(accrued).unwrap_or(i64::MAX);
        self.credit = self
            .credit
            .saturating_add(accrued)
            .min(max_credit(self.rate));
        self.last_credited = self.last_credited.max(now);
    }
}

/// Returns the budget of one second in thousandths of a byte.
fn max_credit(rate: u32) -> i64 {
    i64::from(rate) * CREDIT_PER_BYTE as i64
}
