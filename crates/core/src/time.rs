//! Monotonic time in microseconds, and the timing of node leases.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, AddAssign, Sub},
        time::Duration,
    },
};

/// Instant on a process's monotonic clock, or a duration, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero duration, or the origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds; a duration out of range becomes the longest one.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a duration from seconds; a duration out of range becomes the longest one.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000_000))
    }

    /// Returns the number of whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Converts a duration to the standard library's type.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, span: Self) {
        *self = *self + span;
    }
}

impl Sub for Micros {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        self.since(span)
    }
}

/// Interval between heartbeats of an entry.
pub const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(500);

/// Duration of a node lease; the holder counts it from the time it sent the heartbeat.
pub const NODE_LEASE: Micros = Micros::from_secs(2);

/// Grace period after which an entry that has not adopted an accepted sheet gets no lease renewals.
pub const SHEET_GRACE: Micros = Micros::from_millis(1_500);

/// Maximum difference in clock rate between two hosts, in percent.
pub const DRIFT_PERCENT: u64 = 5;

/// Fixed part of the margin that the grantor of a lease adds for clock drift.
pub const DRIFT_MARGIN: Micros = Micros::from_millis(50);

/// Returns when a lease expires for its holder, which counts from the time it sent the request.
#[must_use]
pub const fn holder_expiry(sent: Micros, lease: Micros) -> Micros {
    Micros(sent.0 + lease.0)
}

/// Returns when a lease expires for its grantor, which counts from the time it received the
/// request.
///
/// This is later than the holder's expiry as long as the two clock rates differ by at most
/// `DRIFT_PERCENT`.
#[must_use]
pub const fn grantor_expiry(received: Micros, lease: Micros) -> Micros {
    Micros(received.0 + lease.0 + lease.0 * DRIFT_PERCENT / 100 + DRIFT_MARGIN.0)
}
