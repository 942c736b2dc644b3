//! Health of a target as observed by an entry over its own connections.

use crate::time::Micros;

/// Back-off after the first failed connection attempt.
const INITIAL_BACKOFF: Micros = Micros::from_millis(100);

/// Longest back-off between two attempts; a target that recovers is used again within this time.
const MAX_BACKOFF: Micros = Micros::from_secs(1);

/// Weight of one response in the moving averages, as a negative power of two: 1/8.
const AVERAGE_SHIFT: u32 = 3;

/// Latency assumed before the first response.
const INITIAL_LATENCY: Micros = Micros::from_millis(20);

/// Error rate of a target whose responses all fail, in thousandths.
const ERROR_SCALE: u32 = 1_000;

/// Change in the reachability of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// No change that other components have to learn of.
    None,
    /// The target became unreachable.
    Lost,
    /// The target became reachable again.
    Regained,
}

/// Reachability, latency and error rate of one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHealth {
    latency: Micros,
    /// Share of responses that reported a failure, in thousandths.
    error_rate: u32,
    /// Consecutive failed attempts.
    failures: u32,
    /// Start of the current series of failures.
    failing_since: Option<Micros>,
    retry_at: Micros,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            latency: INITIAL_LATENCY,
            error_rate: 0,
            failures: 0,
            failing_since: None,
            retry_at: Micros::ZERO,
        }
    }
}

impl TargetHealth {
    /// Returns whether a connection or statement may be attempted now.
    #[must_use]
    pub const fn can_attempt(&self, now: Micros) -> bool {
        self.failing_since.is_none() || now.0 >= self.retry_at.0
    }

    /// Returns whether the last attempt failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns for how long every attempt has failed; zero if the last one succeeded.
    #[must_use]
    pub const fn failing_for(&self, now: Micros) -> Micros {
        match self.failing_since {
            Some(since) => now.since(since),
            None => Micros::ZERO,
        }
    }

    /// Returns the moving average of the response time.
    #[must_use]
    pub const fn latency(&self) -> Micros {
        self.latency
    }

    /// Returns the share of responses that reported a failure, in thousandths.
    #[must_use]
    pub const fn error_rate(&self) -> u32 {
        self.error_rate
    }

    /// Records a response, whether it came over a direct or a relayed connection; `failed` means that the target
    /// ran the statement and reported a failure.
    pub fn record_response(&mut self, latency: Micros, failed: bool) {
        self.latency = moving_average(self.latency.0, latency.0);
        let sample = if failed { ERROR_SCALE } else { 0 };
        let error_rate = moving_average(u64::from(self.error_rate), u64::from(sample)).0;
        self.error_rate = u32::try_from(error_rate).unwrap_or(ERROR_SCALE);
    }

    /// Records that the target accepted a connection of this entry or sent data on one.
    pub const fn record_contact(&mut self) -> HealthChange {
        self.failures = 0;
        if self.failing_since.take().is_some() {
            HealthChange::Regained
        } else {
            HealthChange::None
        }
    }

    /// Records an attempt that began at `begun` and got no response.
    pub fn record_failure(&mut self, begun: Micros, now: Micros) -> HealthChange {
        let backoff = Micros(INITIAL_BACKOFF.0 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + backoff;
        if self.failing_since.is_some() {
            return HealthChange::None;
        }
        self.failing_since = Some(begun);
        HealthChange::Lost
    }
}

const fn moving_average(mean: u64, sample: u64) -> Micros {
    Micros(mean - (mean >> AVERAGE_SHIFT) + (sample >> AVERAGE_SHIFT))
}
