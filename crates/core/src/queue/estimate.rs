//! Expected execution times, learnt per statement fingerprint.

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    std::collections::VecDeque,
};

/// Fingerprints that are remembered; the oldest go first.
const FINGERPRINTS_KEPT: usize = 4_096;

/// Start value for a kind that was never seen.
const START_VALUE: Micros = Micros::from_millis(5);

/// Moving estimates per fingerprint, with a start value per kind.
#[derive(Debug, Default)]
pub struct EstimateBook {
    statements: FastMap<u64, Micros>,
    ages: VecDeque<u64>,
    kinds: FastMap<SharedName, Micros>,
}

impl EstimateBook {
    /// Sets the start value of a kind.
    pub fn set_start(&mut self, kind: SharedName, estimate: Micros) {
        self.kinds.insert(kind, estimate);
    }

    /// Returns the expected execution time of a statement.
    #[must_use]
    pub fn estimate(&self, fingerprint: u64, kind: &SharedName) -> Micros {
        if let Some(estimate) = self.statements.get(&fingerprint) {
            return *estimate;
        }
        self.kinds.get(kind).copied().unwrap_or(START_VALUE)
    }

    /// Takes an observed execution time into account.
    ///
    /// An eighth of the difference is taken over at a time, so that one slow run does not turn a
    /// short statement into long work.
    pub fn learn(&mut self, fingerprint: u64, kind: &SharedName, ran: Micros) {
        if let Some(estimate) = self.statements.get_mut(&fingerprint) {
            *estimate = moved(*estimate, ran);
        } else {
            if self.ages.len() >= FINGERPRINTS_KEPT
                && let Some(oldest) = self.ages.pop_front()
            {
                self.statements.remove(&oldest);
            }
            self.statements.insert(fingerprint, ran);
            self.ages.push_back(fingerprint);
        }
        match self.kinds.get_mut(kind) {
            Some(estimate) => *estimate = moved(*estimate, ran),
            None => {
                self.kinds.insert(kind.clone(), ran);
            }
        }
    }
}

const fn moved(estimate: Micros, ran: Micros) -> Micros {
    Micros((estimate.0.saturating_mul(7).saturating_add(ran.0)) / 8)
}
