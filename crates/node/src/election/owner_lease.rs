use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
    parking_lot::Mutex,
    std::{
        future::{Future, poll_fn},
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::Poll,
    },
};

/// Fencing tokens of a term: that of its claim, and the newest one from a stored renewal.
#[derive(Clone, Copy, Debug, Default)]
struct TermTokens {
    claimed: u64,
    newest: u64,
}

/// Time until which this process may send commands as owner, and the newest fencing token that it may use; shared by the
/// election and the control actor.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    until: Arc<AtomicU64>,
    tokens: Arc<Mutex<TermTokens>>,
    /// Token of the latest claim that the control actor has given up.
    resigned: Arc<AtomicU64>,
}

impl OwnerLease {
    /// Extends the lease; an earlier end than the present one has no effect.
    pub fn extend(&self, until: LocalTime) {
        self.until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Ends the lease at once.
    pub fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }

    /// Gives up the claim with the token `claimed`: the election ends the term and releases the claim.
    pub fn resign(&self, claimed: u64) {
        self.resigned.fetch_max(claimed, Ordering::Relaxed);
    }

    /// Returns whether the claim with the token `claimed` was given up.
    pub fn is_resigned(&self, claimed: u64) -> bool {
        self.resigned.load(Ordering::Relaxed) >= claimed
    }

    /// Records that the claim with the token `claimed`, or a renewal of it, is stored. `newest` is one above its offset, so that
    /// each later claim has a higher token.
    pub fn record_token(&self, claimed: u64, newest: u64) {
        *self.tokens.lock() = TermTokens { claimed, newest };
    }

    /// Returns the newest token of the term that was claimed with the token `claimed`. The election may have begun a later
    /// term of this process already, whose tokens are not for commands of this one.
    pub fn newest_token(&self, claimed: u64) -> u64 {
        let tokens = *self.tokens.lock();
        if tokens.claimed == claimed {
            tokens.newest
        } else {
            claimed
        }
    }

    /// Returns whether commands may be sent now.
    pub fn is_held(&self) -> bool {
        self.remaining() > Millis(0)
    }

    /// Returns for how long commands may still be sent.
    pub fn remaining(&self) -> Millis {
        let until = LocalTime(self.until.load(Ordering::Relaxed));
        until.since(BootClock.now())
    }

    /// Runs a future while the lease is held; `None` when it ends before. The lease is checked before each step, so that
    /// a command which waits for a connection while the process is suspended is dropped and not sent.
    pub async fn run_while_held<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        poll_fn(|context| {
            if !self.is_held() {
                return Poll::Ready(None);
            }
            future.as_mut().poll(context).map(Some)
        })
        .await
    }
}
