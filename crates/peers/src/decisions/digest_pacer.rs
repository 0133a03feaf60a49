use {
    crate::wire::DigestChange,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How often a digest can be sent.
pub const DIGEST_INTERVAL: Millis = Millis(200);
/// Longest time between digests. Two lost in a row still leave a gap below the silence limit of 2 s.
pub const IDLE_INTERVAL: Millis = Millis(600);
/// Bytes of digest frames that an entry host sends in a second to all its peers together.
///
/// A node may spend 8 KB a second on control traffic. Its peers send as much to it as it sends to them,
/// so half of it is left for sending.
pub const NODE_BUDGET_BYTES: u32 = 4_000;

/// Digests after an urgent one that are sent at every interval, so that its loss is noticed at once.
const URGENT_REPEATS: u32 = 3;
/// A timer fires late by some milliseconds; a digest that is due within this time is sent at once.
const TIMER_TOLERANCE: Millis = Millis(100);
/// Thousandths of a byte in a byte; the budget accrues in them by the millisecond.
const PER_BYTE: u64 = 1_000;

/// What to send on a connection now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// Nothing.
    Skip,
    /// A digest without changes of demand.
    WithoutDemand,
    /// A digest with all changes.
    Full,
}

/// Decides at each interval whether a digest is sent on one connection.
///
/// Urgent changes are sent at the next interval whatever they cost. Changes of demand wait while the
/// budget of the connection is spent. A digest is sent at the idle interval in any case.
#[derive(Debug)]
pub struct DigestPacer {
    /// Thousandths of a byte; below zero after a digest that cost more than was left.
    credit: i64,
    credited: LocalTime,
    /// Bytes per second.
    rate: u32,
    repeats: u32,
    sent: Option<LocalTime>,
}

impl DigestPacer {
    /// Creates the pacer of a new connection of an entry host with `peers` peers.
    pub fn new(now: LocalTime, node_budget_bytes: u32, peers: usize) -> Self {
        let peers = u32::try_from(peers.max(1)).unwrap_or(u32::MAX);
        let rate = node_budget_bytes / peers;
        Self {
            credit: full_credit(rate),
            credited: now,
            rate,
            repeats: 0,
            sent: None,
        }
    }

    /// Decides what to send at `now`.
    pub fn plan(&mut self, now: LocalTime, change: DigestChange) -> Pace {
        self.accrue(now);
        let Some(sent) = self.sent else {
            self.repeats = URGENT_REPEATS;
            return Pace::Full;
        };
        let due = self.repeats > 0 || now.since(sent).0 + TIMER_TOLERANCE.0 >= IDLE_INTERVAL.0;
        self.repeats = match change {
            DigestChange::Urgent => URGENT_REPEATS,
            _ => self.repeats.saturating_sub(1),
        };
        let affordable = self.credit > 0;
        match change {
            DigestChange::Minor if !due => Pace::Skip,
            DigestChange::Demand if !due && !affordable => Pace::Skip,
            _ if affordable => Pace::Full,
            _ => Pace::WithoutDemand,
        }
    }

    /// Charges a digest that was sent at `now`.
    pub fn charge(&mut self, now: LocalTime, bytes: usize) {
        let mut cost = i64::try_from(bytes as u64 * PER_BYTE).unwrap_or(i64::MAX);
        if self.sent.is_none() {
            // The first digest of a connection names every service. Charged in full it would hold back
            // changes of demand for 8 s at 42 entry hosts.
            cost = cost.min(full_credit(self.rate));
        }
        self.credit = self.credit.saturating_sub(cost);
        self.sent = Some(now);
    }

    fn accrue(&mut self, now: LocalTime) {
        let accrued = now
            .since(self.credited)
            .0
            .saturating_mul(u64::from(self.rate));
        let accrued = i64::try_from(accrued).unwrap_or(i64::MAX);
        self.credit = self
            .credit
            .saturating_add(accrued)
            .min(full_credit(self.rate));
        self.credited = self.credited.max(now);
    }
}

/// One second of budget, in thousandths of a byte.
fn full_credit(rate: u32) -> i64 {
    i64::from(rate) * PER_BYTE as i64
}
