//! When an entry opens further connections to a target.

use crate::time::Micros;

/// Back-off after the first refused connection.
const INITIAL_BACKOFF: Micros = Micros::from_millis(200);

/// Longest back-off: a target drops the connections of a lost host after seconds, and callers wait for the room.
const MAX_BACKOFF: Micros = Micros::from_millis(400);

/// Connections that an entry opens to a target at a time. Each occupies a slot of the target for about 12 ms, so two
/// at a time open more than a hundred a second.
const MAX_OPENING: u32 = 2;

/// The same after a refusal, until the target accepts a connection.
const MAX_OPENING_REFUSED: u32 = 1;

/// Whether a target accepts further connections of this entry.
///
/// Designed for a loss of all power: targets still count the connections of lost hosts and refuse new ones for
/// seconds, while all entries return and each waiting request wants a connection. Each attempt occupies a slot of the
/// target, refused or not, which the statements on the connections that were accepted need.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectAdmission {
    /// Refusals since the last accepted connection.
    refusals: u32,
    refused_until: Micros,
}

impl ConnectAdmission {
    /// Returns how many connections may be opened at a time.
    #[must_use]
    pub const fn max_opening(&self) -> u32 {
        if self.refusals > 0 { MAX_OPENING_REFUSED } else { MAX_OPENING }
    }

    /// Returns whether the back-off after a refusal is still running.
    #[must_use]
    pub fn is_refused(&self, now: Micros) -> bool {
        now < self.refused_until
    }

    /// Returns the end of the back-off after the last refusal.
    #[must_use]
    pub const fn refused_until(&self) -> Micros {
        self.refused_until
    }

    /// Records that the target accepted a connection.
    pub const fn record_accepted(&mut self) {
        self.refusals = 0;
    }

    /// Records that the target refused a connection; returns the time until the next attempt.
    pub fn record_refused(&mut self, now: Micros) -> Micros {
        let backoff = Micros(INITIAL_BACKOFF.0 << self.refusals.min(8)).min(MAX_BACKOFF);
        self.refusals = self.refusals.saturating_add(1);
        self.refused_until = now + backoff;
        backoff
    }
}
