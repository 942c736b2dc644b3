//! Whether a statement waits for a group that has no reachable leader.

use crate::time::Micros;

/// Longest time within which a lost primary is usually replaced: it is judged within 1.5 s and replaced within 1 s.
const USUAL_OUTAGE: Micros = Micros::from_millis(2_500);

/// Longest time until a refused statement may come again: callers try a few times within 4 s, and one that comes again
/// too early uses up an attempt.
const MAX_RETRY_AFTER: Micros = Micros::from_secs(2);

/// Time by which each level of priority comes back later than the one above it.
const PRIORITY_DELAY: Micros = Micros::from_millis(100);

/// Time over which the statements of one priority come back: those that an entry refused within a few hundred
/// milliseconds must not all open connections at once.
const RETURN_SPREAD: Micros = Micros::from_millis(400);

/// What to do with a statement while its group has no reachable leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageStep {
    /// The leader may return before the statement's deadline.
    Wait,
    /// The leader is not expected before the statement's deadline.
    Refuse {
        /// Time after which a retry may succeed.
        retry_after: Micros,
    },
}

/// Time for which a group has had no reachable leader.
///
/// Callers repeat a refused statement only a few times, and another entry cannot serve it either. So a statement waits
/// while a replacement may finish before its deadline; an outage that lasts longer than a replacement takes is expected
/// to last for as long again as it is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderOutage {
    since: Micros,
}

impl LeaderOutage {
    /// Starts an outage.
    #[must_use]
    pub const fn new(now: Micros) -> Self {
        Self { since: now }
    }

    /// Returns whether a primary proved its lead after the outage began; `proved_at` is the time of the newest proof.
    #[must_use]
    pub fn is_over(&self, proved_at: Option<Micros>) -> bool {
        proved_at.is_some_and(|proved_at| proved_at > self.since)
    }

    /// Returns what to do with a statement that has to end by `deadline`; `spread` is a number that differs between
    /// statements.
    #[must_use]
    pub fn step(&self, deadline: Micros, priority: u32, spread: u64, now: Micros) -> OutageStep {
        let rest = now.since(self.since).since(USUAL_OUTAGE);
        if now < deadline && now + rest <= deadline {
            return OutageStep::Wait;
        }
        let elapsed = now.since(self.since).min(MAX_RETRY_AFTER);
        let later = PRIORITY_DELAY.0.saturating_mul(priority.into()).min(MAX_RETRY_AFTER.0);
        OutageStep::Refuse { retry_after: Micros(elapsed.0 + later + spread % RETURN_SPREAD.0) }
    }
}
