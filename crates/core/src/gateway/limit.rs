//! Adaptive limit of the statements that one entry keeps in flight at a target.

use crate::time::Micros;

/// Average latency above which the limit decreases. The shortest statement timeout is one second; a target whose
/// own queue takes a third of that has more statements than it can use.
const DECREASE_LATENCY: Micros = Micros::from_millis(220);

/// Average latency below which the limit increases.
const INCREASE_LATENCY: Micros = Micros::from_millis(140);

/// Minimum time between two decreases: the effect of one shows only after the running statements have ended.
const MIN_DECREASE_INTERVAL: Micros = Micros::from_millis(200);

/// Part of the limit that remains after a decrease, in percent.
const DECREASE_PERCENT: u64 = 70;

/// Fixed-point scale of the limit, so that it can grow by fractions of a statement.
const SCALE: u64 = 1_000;

/// Limit of statements in flight, increased additively and decreased multiplicatively by the target's latency.
///
/// Needed when a target becomes slow, or when many entries share a target with few slots. Without the limit they
/// fill the target's queue, and statements whose callers have given up occupy its slots.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    /// The limit multiplied by `SCALE`.
    limit: u64,
    max_limit: u32,
    decreased_at: Option<Micros>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at half of its maximum: after a power loss all entries restart at once, without
    /// knowledge of the load.
    #[must_use]
    pub fn new(max_limit: u32) -> Self {
        let max_limit = max_limit.max(1);
        Self { limit: u64::from(max_limit.div_ceil(2)) * SCALE, max_limit, decreased_at: None }
    }

    /// Changes the maximum of the limit.
    pub fn set_max(&mut self, max_limit: u32) {
        let previous_max = self.max_limit;
        self.max_limit = max_limit.max(1);
        let max_scaled = u64::from(self.max_limit) * SCALE;
        // A limit at its maximum follows a change of the maximum.
        let at_max = self.limit >= u64::from(previous_max) * SCALE;
        self.limit = if at_max { max_scaled } else { self.limit.min(max_scaled) };
    }

    /// Returns the number of statements that may be in flight.
    #[must_use]
    pub fn value(&self) -> u32 {
        u32::try_from(self.limit / SCALE).unwrap_or(u32::MAX).max(1)
    }

    /// Adjusts the limit after a response; `latency` is the average latency, `full` is whether the target refused
    /// the statement because its queue is full.
    pub fn record(&mut self, latency: Micros, full: bool, now: Micros) {
        if full || latency > DECREASE_LATENCY {
            if self
                .decreased_at
                .is_some_and(|decreased_at| now.since(decreased_at) < MIN_DECREASE_INTERVAL)
            {
                return;
            }
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE_PERCENT / 100).max(SCALE);
        } else if latency < INCREASE_LATENCY {
            let max_scaled = u64::from(self.max_limit) * SCALE;
            self.limit = (self.limit + SCALE * SCALE / self.limit.max(SCALE)).min(max_scaled);
        }
    }
}
