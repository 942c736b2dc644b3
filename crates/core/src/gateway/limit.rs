//! How many statements of one entry a target may run or queue at a time.

use crate::time::Micros;

/// Average latency above which the limit shrinks. Statement timeouts begin at one second; a target whose
/// own queue takes a third of that is fuller than it can use.
const SLOW: Micros = Micros::from_millis(220);

/// Average latency below which the limit grows.
const FAST: Micros = Micros::from_millis(140);

/// Least time between two cuts: the effect of one shows only after the statements that run have ended.
const CUT_GAP: Micros = Micros::from_millis(200);

/// What a cut leaves of the limit, in percent.
const CUT_PERCENT: u64 = 70;

/// Scale of the limit, so that it can grow by parts of a statement.
const SCALE: u64 = 1_000;

/// Limit of statements in flight that follows the target's latency.
///
/// Load: a target that got slow, or many entries before one with few slots. Without the limit they fill
/// the target's queue, and statements that nobody waits for any more take its slots.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    /// The limit in parts of `SCALE`.
    limit: u64,
    most: u32,
    cut_at: Option<Micros>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at half of its greatest value: after a loss of power all entries come
    /// back at once, and know nothing of the load.
    #[must_use]
    pub fn new(most: u32) -> Self {
        let most = most.max(1);
        Self { limit: u64::from(most.div_ceil(2)) * SCALE, most, cut_at: None }
    }

    /// Changes the greatest value.
    pub fn set_most(&mut self, most: u32) {
        let before = self.most;
        self.most = most.max(1);
        let top = u64::from(self.most) * SCALE;
        // A limit that was not cut follows its greatest value.
        let uncut = self.limit >= u64::from(before) * SCALE;
        self.limit = if uncut { top } else { self.limit.min(top) };
    }

    /// Returns the number of statements that may be in flight.
    #[must_use]
    pub fn value(&self) -> u32 {
        u32::try_from(self.limit / SCALE).unwrap_or(u32::MAX).max(1)
    }

    /// Learns from an answer; `latency` is the average, `full` tells that the target refused as full.
    pub fn record(&mut self, latency: Micros, full: bool, now: Micros) {
        if full || latency > SLOW {
            if self.cut_at.is_some_and(|cut_at| now.since(cut_at) < CUT_GAP) {
                return;
            }
            self.cut_at = Some(now);
            self.limit = (self.limit * CUT_PERCENT / 100).max(SCALE);
        } else if latency < FAST {
            let top = u64::from(self.most) * SCALE;
            self.limit = (self.limit + SCALE * SCALE / self.limit.max(SCALE)).min(top);
        }
    }
}
