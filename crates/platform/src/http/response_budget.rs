use {
    super::CallError,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Limits the bytes of all responses that are being read.
#[derive(Clone, Debug)]
pub(super) struct ResponseBudget {
    held: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl ResponseBudget {
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            held: Arc::default(),
            max_bytes,
        }
    }

    /// Returns a reservation of no bytes.
    pub(super) fn reserve_none(&self) -> HeldResponse {
        HeldResponse {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Reserved bytes of a response; released when it is dropped.
#[derive(Debug)]
pub(super) struct HeldResponse {
    budget: ResponseBudget,
    bytes: usize,
}

impl HeldResponse {
    /// Reserves `bytes` in place of what was reserved.
    ///
    /// # Errors
    /// When the budget is used up.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), CallError> {
        let added = bytes.saturating_sub(self.bytes);
        let before = self.budget.held.fetch_add(added, Ordering::Relaxed);
        self.bytes += added;
        if before + added > self.budget.max_bytes {
            let message = "the responses that are being read hold too much memory";
            return Err(CallError::Unconfirmed(message.to_owned()));
        }
        Ok(())
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
