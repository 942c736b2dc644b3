//! Times at which refused requests may come again.

use {super::SlotQueue, crate::time::Micros, std::collections::BTreeMap};

/// Minimum and maximum time until a refused request may come again.
const RETRY_AFTER_RANGE: (Micros, Micros) = (Micros::from_millis(20), Micros::from_secs(10));

/// Part of the slots' time that is left to requests that come again, as a divisor: the rest serves new ones.
const RETURN_DIVISOR: u64 = 2;

/// Capacity of a queue that refused requests were told to come back to.
///
/// Designed for a burst or an outage after which many requests are refused at once: told the same time, they would all
/// come again together and be refused again.
#[derive(Debug, Default)]
pub(super) struct RetryPlan {
    /// Time by priority until which the slots are taken by the requests that were told to come again.
    taken_until: BTreeMap<u32, Micros>,
}

impl RetryPlan {
    /// Returns the time after which a refused request may come again, at least `earliest`.
    ///
    /// Requests of a lower priority do not delay it.
    pub(super) fn assign(
        &mut self,
        priority: u32,
        estimate: Micros,
        earliest: Micros,
        slots: u32,
        now: Micros,
    ) -> Micros {
        self.taken_until.retain(|_, until| *until > now);
        let mut at = now + earliest;
        for (_, until) in self.taken_until.range(..=priority) {
            at = at.max(*until);
        }
        let latest = now + RETRY_AFTER_RANGE.1;
        let next = at + Micros(RETURN_DIVISOR * estimate.0 / u64::from(slots.max(1)));
        self.taken_until.insert(priority, next.min(latest));
        at.since(now).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

impl SlotQueue {
    /// Returns the time after which a refused request may come again, at least `earliest`.
    pub(super) fn retry_after(
        &mut self,
        priority: u32,
        estimate: Micros,
        earliest: Micros,
        now: Micros,
    ) -> Micros {
        if !self.settings.plan_returns {
            return earliest.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        }
        self.retry_plan.assign(priority, estimate, earliest, self.settings.slots, now)
    }
}
