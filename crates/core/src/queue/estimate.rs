//! Execution time estimates, learned per statement fingerprint.

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    std::collections::VecDeque,
};

/// Maximum number of fingerprints with an estimate; the oldest are evicted first.
const FINGERPRINT_CAPACITY: usize = 4_096;

/// Estimate for a kind without any observation.
const DEFAULT_ESTIMATE: Micros = Micros::from_millis(5);

/// Moving averages of execution times per fingerprint, with a fallback per kind.
///
/// The average of the kind is used for a fingerprint without any observation.
#[derive(Debug, Default)]
pub struct ExecutionEstimates {
    statements: FastMap<u64, Micros>,
    insertion_order: VecDeque<u64>,
    kinds: FastMap<SharedName, Micros>,
}

impl ExecutionEstimates {
    /// Sets the initial estimate of a kind.
    pub fn set_initial(&mut self, kind: SharedName, estimate: Micros) {
        self.kinds.insert(kind, estimate);
    }

    /// Returns the expected execution time of a statement.
    #[must_use]
    pub fn estimate(&self, fingerprint: u64, kind: &SharedName) -> Micros {
        if let Some(estimate) = self.statements.get(&fingerprint) {
            return *estimate;
        }
        self.kinds.get(kind).copied().unwrap_or(DEFAULT_ESTIMATE)
    }

    /// Updates the moving averages with an observed execution time.
    ///
    /// The weight of a new observation is 1/8, so that one slow run does not turn a short statement
    /// into long work.
    pub fn record(&mut self, fingerprint: u64, kind: &SharedName, execution_time: Micros) {
        if let Some(estimate) = self.statements.get_mut(&fingerprint) {
            *estimate = updated_average(*estimate, execution_time);
        } else {
            if self.insertion_order.len() >= FINGERPRINT_CAPACITY
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.statements.remove(&oldest);
            }
            self.statements.insert(fingerprint, execution_time);
            self.insertion_order.push_back(fingerprint);
        }
        match self.kinds.get_mut(kind) {
            Some(estimate) => *estimate = updated_average(*estimate, execution_time),
            None => {
                self.kinds.insert(kind.clone(), execution_time);
            }
        }
    }
}

const fn updated_average(estimate: Micros, execution_time: Micros) -> Micros {
    Micros((estimate.0.saturating_mul(7).saturating_add(execution_time.0)) / 8)
}
