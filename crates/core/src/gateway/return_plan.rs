//! Times at which callers that an entry refused may come again.

use {crate::time::Micros, std::collections::BTreeMap};

/// Time over which the rate of served statements is averaged.
const RATE_MEMORY: Micros = Micros::from_secs(1);

/// Lowest rate of served statements a second that a plan assumes, so that it never spreads a few callers over seconds.
const MIN_RATE: f64 = 10.0;

/// Part of the served statements that is left to callers that come again, as a divisor: the rest serves new ones.
const RETURN_DIVISOR: f64 = 2.0;

/// Longest time until a refused caller may come again: callers try a few times within 4 s, and a later time would leave
/// them no other attempt.
const MAX_RETRY_AFTER: Micros = Micros::from_secs(2);

/// Plan of one entry for the callers of one group that it told to come again.
///
/// Designed for a burst or an outage after which many callers are refused at once: told the same time, they would all
/// come again together and be refused again. An attempt that is refused at one target and then served at another is no
/// caller that comes again, so only refusals that reach a caller count.
#[derive(Clone, Debug, Default)]
pub struct ReturnPlan {
    /// Served statements a second, as of `updated`.
    rate: f64,
    updated: Micros,
    /// Time by priority until which callers were told to come again.
    taken_until: BTreeMap<u32, Micros>,
}

impl ReturnPlan {
    /// Records a statement that was served.
    pub fn record_served(&mut self, now: Micros) {
        self.rate = self.rate_at(now) + 1_000_000.0 / RATE_MEMORY.0 as f64;
        self.updated = now;
    }

    /// Returns the time after which a refused caller may come again, at least `earliest` unless that is later than a
    /// caller can wait.
    ///
    /// Callers of a lower priority do not delay it.
    pub fn assign(&mut self, priority: u32, earliest: Micros, now: Micros) -> Micros {
        let earliest = earliest.min(Micros(MAX_RETRY_AFTER.0 / 2));
        self.taken_until.retain(|_, until| *until > now);
        let mut at = now + earliest;
        for (_, until) in self.taken_until.range(..=priority) {
            at = at.max(*until);
        }
        if at > now + MAX_RETRY_AFTER {
            at = now + earliest;
        }
        let step = RETURN_DIVISOR / self.rate_at(now).max(MIN_RATE);
        self.taken_until.insert(priority, at + Micros((step * 1_000_000.0) as u64));
        at.since(now)
    }

    fn rate_at(&self, now: Micros) -> f64 {
        let elapsed = now.since(self.updated).0 as f64 / RATE_MEMORY.0 as f64;
        self.rate * (-elapsed).exp()
    }
}
