//! Which entries are asked for a connection to a target, and how long each of them is waited for.

use crate::{collections::FastMap, directory::ProcessHost, names::SharedName, time::Micros};

/// Time for which an entry that gave no answer is asked after all others.
const FAILING_LIFE: Micros = Micros::from_secs(1);

/// Entries that may refuse before the request counts as refused.
const REFUSALS: usize = 3;

/// The same for a target that this entry cannot reach: others may be cut off as well, and refuse at once.
const DETOUR_REFUSALS: usize = 5;

/// Entries that may give no answer; more than half of them can lose power together.
const SILENT_LENDERS: usize = 4;

/// Wait at an entry while others are left to ask: a connection takes about 12 ms to open, and an entry whose
/// connections are all in use is no better than the next one.
const FIRST_WAIT: Micros = Micros::from_millis(50);

/// Wait at the last entry.
const LAST_WAIT: Micros = Micros::from_millis(900);

/// Time for an answer beside the wait; regions are 20 ms apart and an entry has a tenth of a core.
const ANSWER_LIMIT: Micros = Micros::from_millis(200);

/// Entries that gave no answer a moment ago.
#[derive(Clone, Debug, Default)]
pub struct LenderBook {
    failing: FastMap<SharedName, Micros>,
}

impl LenderBook {
    /// Records an entry that gave no answer.
    pub fn failed(&mut self, host: &SharedName, now: Micros) {
        self.failing.retain(|_, until| *until > now);
        self.failing.insert(host.clone(), now + FAILING_LIFE);
    }

    /// Records an answer, whatever it says.
    pub fn answered(&mut self, host: &SharedName) {
        self.failing.remove(host);
    }

    /// Returns whether an entry gave no answer a moment ago.
    #[must_use]
    pub fn is_failing(&self, host: &SharedName, now: Micros) -> bool {
        self.failing.get(host).is_some_and(|until| *until > now)
    }

    /// Starts a round over `entries`, in their order but for those that gave no answer a moment ago.
    #[must_use]
    pub fn round(&self, entries: &[ProcessHost], detour: bool, now: Micros) -> LenderRound {
        let mut order = entries.to_vec();
        let fails =
            |entry: &ProcessHost| self.failing.get(&entry.host).is_some_and(|until| *until > now);
        order.sort_by_key(fails);
        let refusals = if detour { DETOUR_REFUSALS } else { REFUSALS };
        LenderRound { order, turn: 0, refusals, silent: SILENT_LENDERS, detour }
    }
}

/// Entry to ask next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LenderTurn {
    /// The entry.
    pub entry: ProcessHost,
    /// Time for which it may let the request wait for a connection.
    pub wait: Micros,
    /// Time after which it counts as silent, beside the wait.
    pub answer_limit: Micros,
}

/// Round over the entries for one connection.
#[derive(Clone, Debug)]
pub struct LenderRound {
    order: Vec<ProcessHost>,
    turn: usize,
    refusals: usize,
    silent: usize,
    detour: bool,
}

impl LenderRound {
    /// Returns the entry to ask next, or `None` when the request counts as refused.
    ///
    /// Load: more transactions than the connections of one lending entry, and entries that lose power
    /// together with the connections that they lend.
    pub fn next_turn(&mut self, left: Micros) -> Option<LenderTurn> {
        if self.refusals == 0 || left == Micros::ZERO {
            return None;
        }
        let entry = self.order.get(self.turn)?.clone();
        self.turn += 1;
        let last = self.refusals == 1 || self.turn == self.order.len();
        let wait = if last && !self.detour { LAST_WAIT } else { FIRST_WAIT };
        Some(LenderTurn { entry, wait: wait.min(left), answer_limit: ANSWER_LIMIT })
    }

    /// Records that the entry asked last refused.
    pub const fn refused(&mut self) {
        self.refusals = self.refusals.saturating_sub(1);
    }

    /// Records that the entry asked last gave no answer.
    pub const fn was_silent(&mut self) {
        self.silent = self.silent.saturating_sub(1);
        if self.silent == 0 {
            self.refusals = 0;
        }
    }
}
