//! Choice of the entries that relay a connection or a read to a target, and the timeouts of the requests to them.

use crate::{collections::FastMap, directory::ProcessHost, names::SharedName, time::Micros};

/// Time for which an entry that did not respond is tried only after all others.
const UNRESPONSIVE_TTL: Micros = Micros::from_secs(1);

/// Refusals after which the request counts as refused.
const MAX_REFUSALS: usize = 3;

/// Refusals after which a request counts as refused if this entry cannot reach the target: other entries may be
/// cut off from it as well, and then refuse at once.
const MAX_DETOUR_REFUSALS: usize = 5;

/// Unresponsive entries after which the request counts as refused; more than half of the entries can lose power
/// together.
const MAX_UNRESPONSIVE: usize = 4;

/// Time that a request may wait for a free connection at an entry while other entries are left to try.
///
/// A connection takes about 12 ms to open, and an entry whose connections are all in use is no better than the
/// next one.
const POOL_WAIT: Micros = Micros::from_millis(50);

/// Time that a request may wait for a free connection at the last entry.
const LAST_POOL_WAIT: Micros = Micros::from_millis(900);

/// Time for a response in addition to the wait for a connection; regions are 20 ms apart and an entry has a tenth
/// of a core.
const RESPONSE_TIMEOUT: Micros = Micros::from_millis(200);

/// Minimum time for an attempt: regions are 20 ms apart. With less, the deadline passes before the entry can tell that it
/// refused the request, and the caller would be told that its outcome is unknown.
const MIN_ATTEMPT_TIME: Micros = Micros::from_millis(60);

/// Entries that recently did not respond to a relay request.
#[derive(Clone, Debug, Default)]
pub struct RelayHealth {
    /// Unresponsive entries by host, with the time at which each record expires.
    failing: FastMap<SharedName, Micros>,
}

impl RelayHealth {
    /// Records an entry that did not respond.
    pub fn record_failure(&mut self, host: &SharedName, now: Micros) {
        self.failing.retain(|_, until| *until > now);
        self.failing.insert(host.clone(), now + UNRESPONSIVE_TTL);
    }

    /// Records a response of an entry, including a refusal.
    pub fn record_response(&mut self, host: &SharedName) {
        self.failing.remove(host);
    }

    /// Returns whether an entry recently did not respond.
    #[must_use]
    pub fn is_failing(&self, host: &SharedName, now: Micros) -> bool {
        self.failing.get(host).is_some_and(|until| *until > now)
    }

    /// Starts a selection over `entries`, in the given order except that those that recently did not respond come
    /// last.
    ///
    /// `detour` is whether the entries stand in for a direct path of this entry that failed.
    #[must_use]
    pub fn select(&self, entries: &[ProcessHost], detour: bool, now: Micros) -> RelaySelection {
        let mut order = entries.to_vec();
        let fails =
            |entry: &ProcessHost| self.failing.get(&entry.host).is_some_and(|until| *until > now);
        order.sort_by_key(fails);
        let refusals = if detour { MAX_DETOUR_REFUSALS } else { MAX_REFUSALS };
        RelaySelection { order, next_index: 0, refusals, unresponsive: MAX_UNRESPONSIVE, detour }
    }
}

/// Request to one entry, for a connection or for a relayed read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAttempt {
    /// Entry that receives the request.
    pub entry: ProcessHost,
    /// Time for which the entry may let the request wait for a free connection.
    pub wait: Micros,
    /// Time, in addition to `wait`, after which the entry counts as unresponsive.
    pub response_timeout: Micros,
}

/// Sequence of entries to try for one connection or relayed read.
#[derive(Clone, Debug)]
pub struct RelaySelection {
    order: Vec<ProcessHost>,
    next_index: usize,
    /// Refusals left until the request counts as refused.
    refusals: usize,
    /// Unresponsive entries left until the request counts as refused.
    unresponsive: usize,
    detour: bool,
}

impl RelaySelection {
    /// Returns the next entry to try, or `None` once the request counts as refused; `left` is the time until the
    /// request's deadline.
    ///
    /// Designed for more transactions than one entry has connections to relay, and for entries that lose power
    /// together with the connections that they relay.
    pub fn next_attempt(&mut self, left: Micros) -> Option<RelayAttempt> {
        if self.refusals == 0 || left < MIN_ATTEMPT_TIME {
            return None;
        }
        let entry = self.order.get(self.next_index)?.clone();
        self.next_index += 1;
        let last = self.refusals == 1 || self.next_index == self.order.len();
        let wait = if last && !self.detour { LAST_POOL_WAIT } else { POOL_WAIT };
        Some(RelayAttempt { entry, wait: wait.min(left), response_timeout: RESPONSE_TIMEOUT })
    }

    /// Records that the last entry refused.
    pub const fn record_refusal(&mut self) {
        self.refusals = self.refusals.saturating_sub(1);
    }

    /// Records that the last entry did not respond.
    pub const fn record_unresponsive(&mut self) {
        self.unresponsive = self.unresponsive.saturating_sub(1);
        if self.unresponsive == 0 {
            self.refusals = 0;
        }
    }
}
