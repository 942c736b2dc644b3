//! What an entry knows of a target's health from its own connections.

use crate::time::Micros;

/// First wait after a failed connection before the next one is tried.
const FIRST_BACKOFF: Micros = Micros::from_millis(100);

/// Longest wait between two tries; a target that returns is used within this time.
const LAST_BACKOFF: Micros = Micros::from_secs(1);

/// Weight of one answer in the averages, as a power of two: 1/8.
const AVERAGE_SHIFT: u32 = 3;

/// Latency assumed before the first answer.
const FIRST_LATENCY: Micros = Micros::from_millis(20);

/// Error share of one failed answer, in thousandths.
const WHOLE: u32 = 1_000;

/// Change of a target's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing that others need to know.
    None,
    /// The target became unreachable.
    Lost,
    /// The target became reachable again.
    Regained,
}

/// Reachability, latency and error share of one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHealth {
    latency: Micros,
    /// Share of answers that reported a failure, in thousandths.
    errors: u32,
    failures: u32,
    /// Start of the present series of failures.
    failing_since: Option<Micros>,
    retry_at: Micros,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            latency: FIRST_LATENCY,
            errors: 0,
            failures: 0,
            failing_since: None,
            retry_at: Micros::ZERO,
        }
    }
}

impl TargetHealth {
    /// Returns whether a connection or statement may be tried now.
    #[must_use]
    pub const fn may_try(&self, now: Micros) -> bool {
        self.failing_since.is_none() || now.0 >= self.retry_at.0
    }

    /// Returns whether the last try failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns how long every try has failed.
    #[must_use]
    pub const fn failing_for(&self, now: Micros) -> Micros {
        match self.failing_since {
            Some(since) => now.since(since),
            None => Micros::ZERO,
        }
    }

    /// Returns the average time to an answer.
    #[must_use]
    pub const fn latency(&self) -> Micros {
        self.latency
    }

    /// Returns the share of answers that reported a failure, in thousandths.
    #[must_use]
    pub const fn errors(&self) -> u32 {
        self.errors
    }

    /// Records an answer, on whatever path it came; `failed` tells that the target ran the statement and
    /// reported a failure.
    pub fn answered(&mut self, latency: Micros, failed: bool) {
        self.latency = average(self.latency.0, latency.0);
        let sample = if failed { WHOLE } else { 0 };
        let errors = average(u64::from(self.errors), u64::from(sample)).0;
        self.errors = u32::try_from(errors).unwrap_or(WHOLE);
    }

    /// Records that the target accepted a connection of this entry or sent anything on it.
    pub const fn reached(&mut self) -> HealthChange {
        self.failures = 0;
        if self.failing_since.take().is_some() {
            HealthChange::Regained
        } else {
            HealthChange::None
        }
    }

    /// Records a try that got no answer, begun at `begun`.
    pub fn failed(&mut self, begun: Micros, now: Micros) -> HealthChange {
        let backoff = Micros(FIRST_BACKOFF.0 << self.failures.min(8)).min(LAST_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + backoff;
        if self.failing_since.is_some() {
            return HealthChange::None;
        }
        self.failing_since = Some(begun);
        HealthChange::Lost
    }
}

const fn average(mean: u64, sample: u64) -> Micros {
    Micros(mean - (mean >> AVERAGE_SHIFT) + (sample >> AVERAGE_SHIFT))
}
