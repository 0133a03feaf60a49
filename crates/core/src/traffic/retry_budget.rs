use crate::ids::{LocalTime, Millis};

/// Most retries of one request.
pub const MAX_RETRIES: u32 = 2;
/// Retries allowed for each hundred requests of a service.
pub const RETRY_PERCENT: u32 = 10;
/// Time over which requests and retries are counted.
pub const RETRY_WINDOW: Millis = Millis(10_000);

/// Length of one count.
const BUCKET_MS: u64 = 1_000;
/// Counts that together are at most as long as the window.
const INNER_BUCKETS: u64 = RETRY_WINDOW.0 / BUCKET_MS;
/// Counts that together are at least as long as the window.
const BUCKETS: usize = INNER_BUCKETS as usize + 1;

/// Requests and retries of one service at one entry host over the last [`RETRY_WINDOW`].
///
/// Each entry host spends at most its own tenth, rounded down and without a minimum. The sum over
/// the entry hosts is therefore at most a tenth of the fleet's requests, however many there are.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: [RetryBucket; BUCKETS],
}

#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    epoch: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts an admitted request, first or repeated.
    pub fn count_request(&mut self, now: LocalTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget; false when the budget is used up.
    pub fn take(&mut self, now: LocalTime) -> bool {
        let epoch = now.0 / BUCKET_MS;
        let mut requests = 0;
        let mut repeated = 0;
        let mut retries = 0;
        for bucket in &self.buckets {
            // Requests are counted over a little less than the window and retries over a little more,
            // so that the bound holds in every window, not only in those that start with a bucket.
            if bucket.epoch + INNER_BUCKETS > epoch {
                requests += bucket.requests;
                repeated += bucket.retries;
            }
            if bucket.epoch + BUCKETS as u64 > epoch {
                retries += bucket.retries;
            }
        }
        // An admitted retry is counted as a request too and must not earn further retries.
        let first_requests = requests.saturating_sub(repeated);
        let allowed = (retries + 1) * 100 <= first_requests * RETRY_PERCENT;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: LocalTime) -> &mut RetryBucket {
        let epoch = now.0 / BUCKET_MS;
        let bucket = &mut self.buckets[(epoch % BUCKETS as u64) as usize];
        if bucket.epoch != epoch {
            *bucket = RetryBucket {
                epoch,
                ..RetryBucket::default()
            };
        }
        bucket
    }
}
