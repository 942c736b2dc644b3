//! Budget that limits retries to a share of the first attempts.

/// Token bucket for retries, counted in thousandths of a retry.
///
/// Without a budget, retries multiply the load while a target is overloaded.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u64,
    earned_per_attempt: u64,
    capacity: u64,
}

const TOKENS_PER_RETRY: u64 = 1_000;

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred first attempts, with at most `burst`
    /// saved retries; it starts full.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        let capacity = burst as u64 * TOKENS_PER_RETRY;
        Self {
            tokens: capacity,
            earned_per_attempt: percent as u64 * TOKENS_PER_RETRY / 100,
            capacity,
        }
    }

    /// Records a first attempt, which adds its share of a retry to the budget.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.earned_per_attempt).min(self.capacity);
    }

    /// Consumes one retry from the budget; returns whether one was available.
    #[must_use]
    pub const fn try_retry(&mut self) -> bool {
        if self.tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens -= TOKENS_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    /// Allows one retry per ten first attempts, with at most ten saved.
    fn default() -> Self {
        Self::new(10, 10)
    }
}
