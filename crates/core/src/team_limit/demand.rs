//! Estimated rate of a team's operations.

use {super::seconds, crate::time::Micros};

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
