//! Estimated rates of a team's operations.

use {
    super::seconds,
    crate::{names::SharedName, time::Micros},
    std::collections::BTreeMap,
};

/// Exponentially weighted rate of operations per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandRate {
    pub(super) rate: f64,
    pub(super) updated: Micros,
}

impl DemandRate {
    /// Adds operations; earlier ones lose weight over `memory`.
    pub(super) fn record(&mut self, operations: f64, memory: Micros, now: Micros) {
        self.rate = self.at(memory, now) + operations / seconds(memory);
        self.updated = self.updated.max(now);
    }

    /// Returns the rate at an instant.
    pub(super) fn at(&self, memory: Micros, now: Micros) -> f64 {
        if self.rate == 0.0 {
            return 0.0;
        }
        self.rate * (-seconds(now.since(self.updated)) / seconds(memory)).exp()
    }
}

/// Time for which a replica's rate holds without a report; replicas report every 150 ms, and one report may be lost.
const HELD_TIME: Micros = Micros::from_millis(500);

/// Rates of operations that replicas report, each held until the replica's next report.
///
/// A report covers the time since the one before it. Counted as an impulse, it would raise the estimate right after it
/// arrives, which is when the estimate is used.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedDemand {
    replicas: BTreeMap<SharedName, DemandRate>,
}

impl ReportedDemand {
    /// Takes a replica's report of `operations` over `span` seconds; the estimate follows it within `memory`.
    pub(super) fn record(
        &mut self,
        replica: &SharedName,
        operations: f64,
        span: f64,
        memory: Micros,
        now: Micros,
    ) {
        if operations == 0.0 && !self.replicas.contains_key(replica) {
            return;
        }
        let span = span.max(f64::MIN_POSITIVE);
        let rate = self.replicas.entry(replica.clone()).or_default();
        let kept = (-span / seconds(memory)).exp();
        rate.rate = rate.rate * kept + operations / span * (1.0 - kept);
        rate.updated = now;
    }

    /// Returns the rate over all replicas at an instant.
    pub(super) fn at(&self, memory: Micros, now: Micros) -> f64 {
        let mut sum = 0.0;
        for rate in self.replicas.values() {
            let held = DemandRate { updated: rate.updated + HELD_TIME, ..*rate };
            sum += held.at(memory, now);
        }
        sum
    }
}
