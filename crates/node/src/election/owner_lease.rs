use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
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

/// Time until which this process may send commands as owner; shared by the election and the control actor.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    until: Arc<AtomicU64>,
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
