use crate::ids::{LocalTime, Millis};

/// Maximum number of retries of one request.
pub const MAX_RETRIES: u32 = 2;
/// Retries allowed per hundred requests of a service.
pub const RETRY_PERCENT: u32 = 10;
/// Window over which requests and retries are counted.
pub const RETRY_WINDOW: Millis = Millis(10_000);

const BUCKET_MS: u64 = 1_000;
/// Number of buckets over which requests are counted; together they are at most as long as the window.
const REQUEST_BUCKETS: u64 = RETRY_WINDOW.0 / BUCKET_MS;
/// Number of buckets over which retries are counted; together they are at least as long as the window.
const RETRY_BUCKETS: usize = REQUEST_BUCKETS as usize + 1;

/// Requests and retries of one service at one entry host over the last [`RETRY_WINDOW`].
///
/// Each entry host retries at most a tenth of its own requests, rounded down and without a minimum. The sum
/// over all entry hosts is therefore at most a tenth of the fleet's requests, however many entry hosts there are.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: [RetryBucket; RETRY_BUCKETS],
}

#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    epoch: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts an admitted request, whether first attempt or retry.
    pub fn count_request(&mut self, now: LocalTime) {
        self.bucket(now).requests += 1;
    }

    /// Spends one retry of the budget; returns false when the budget is exhausted.
    pub fn try_spend(&mut self, now: LocalTime) -> bool {
        let epoch = now.0 / BUCKET_MS;
        let mut requests = 0;
        let mut counted_retries = 0;
        let mut retries = 0;
        for bucket in &self.buckets {
            // Requests are counted over slightly less than the window and retries over slightly more, so
            // that the bound holds in every window and not only in those aligned with the buckets.
            if bucket.epoch + REQUEST_BUCKETS > epoch {
                requests += bucket.requests;
                counted_retries += bucket.retries;
            }
            if bucket.epoch + RETRY_BUCKETS as u64 > epoch {
                retries += bucket.retries;
            }
        }
        // An admitted retry is also counted as a request and must not allow further retries.
        let first_requests = requests.saturating_sub(counted_retries);
        let allowed = (retries + 1) * 100 <= first_requests * RETRY_PERCENT;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: LocalTime) -> &mut RetryBucket {
        let epoch = now.0 / BUCKET_MS;
        let bucket = &mut self.buckets[(epoch % RETRY_BUCKETS as u64) as usize];
        if bucket.epoch != epoch {
            *bucket = RetryBucket {
                epoch,
                ..RetryBucket::default()
            };
        }
        bucket
    }
}
