//! Retry budget, which limits retries to a share of requests so that they cannot amplify overload.

use std::sync::Mutex;

use tokio::time::Instant;

/// Most retries that can accumulate, so that a quiet period does not allow a burst of retries.
const TOKENS_MAX: f64 = 50.0;

/// Token bucket filled by requests and at a fixed rate, and emptied by retries.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens_per_request: f64,
    tokens_per_s: f64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl RetryBudget {
    /// Allows retries as a percentage of requests, plus `floor_per_s` each second.
    pub(crate) fn new(percent: u32, floor_per_s: u32) -> Self {
        Self {
            tokens_per_request: f64::from(percent) / 100.0,
            tokens_per_s: f64::from(floor_per_s),
            bucket: Mutex::new(Bucket {
                tokens: f64::from(floor_per_s),
                filled_at: Instant::now(),
            }),
        }
    }

    /// Adds the tokens of one request, a fraction of a retry.
    pub(crate) fn deposit(&self) {
        self.with_bucket(|bucket| bucket.tokens += self.tokens_per_request);
    }

    /// Takes one retry out of the budget; returns false if the budget is spent.
    pub(crate) fn try_withdraw(&self) -> bool {
        self.with_bucket(|bucket| {
            let allowed = bucket.tokens >= 1.0;
            if allowed {
                bucket.tokens -= 1.0;
            }
            allowed
        })
    }

    fn with_bucket<T>(&self, change: impl FnOnce(&mut Bucket) -> T) -> T {
        let mut bucket = self.bucket.lock().expect("no panic while the budget is locked");
        let now = Instant::now();
        let elapsed_s = now.duration_since(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.tokens += elapsed_s * self.tokens_per_s;
        let result = change(&mut bucket);
        bucket.tokens = bucket.tokens.min(TOKENS_MAX);
        result
    }
}
