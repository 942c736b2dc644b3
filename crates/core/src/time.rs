//! Monotonic time as plain numbers and the arithmetic of leases.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, AddAssign, Sub},
        time::Duration,
    },
};

/// Point on a process's monotonic clock, or a span, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero.
    pub const ZERO: Self = Self(0);

    /// Creates a span from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates a span from seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// Returns the whole milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span as a `Duration`.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
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

/// Length of a node lease, counted by the holder from the moment it sent the heartbeat.
pub const NODE_LEASE: Micros = Micros::from_secs(2);

/// Grace before an entry that is behind an accepted sheet loses its renewals.
pub const SHEET_GRACE: Micros = Micros::from_millis(1_500);

/// Largest difference in clock rate between two hosts, in percent.
pub const DRIFT_PERCENT: u64 = 5;

/// Fixed part of the drift margin.
pub const DRIFT_FIXED: Micros = Micros::from_millis(50);

/// Expiry as the holder counts it, from the moment it sent the request.
#[must_use]
pub const fn holder_expiry(sent: Micros, lease: Micros) -> Micros {
    Micros(sent.0 + lease.0)
}

/// Expiry as the grantor counts it, from the moment it received the request.
///
/// Later than the holder's own count on any clock whose rate is within `DRIFT_PERCENT`.
#[must_use]
pub const fn grantor_expiry(received: Micros, lease: Micros) -> Micros {
    Micros(received.0 + lease.0 + lease.0 * DRIFT_PERCENT / 100 + DRIFT_FIXED.0)
}
