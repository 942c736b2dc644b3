//! Monotonic and wall clocks.

use {
    banyansill_core::time::Micros,
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Monotonic clock that counts from its creation; clones share the origin.
///
/// It counts the time for which the machine was suspended, unlike [`std::time::Instant`]: a process
/// that wakes up must see that its leases and confirmations have run out.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Duration,
    /// Reading at the creation.
    start: Duration,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Micros::ZERO)
    }

    /// Starts a clock at a reading, so that times before its creation can be told.
    #[must_use]
    pub fn start_at(reading: Micros) -> Self {
        Self { origin: time_since_boot(), start: reading.as_duration() }
    }

    /// Returns the time on the clock.
    #[must_use]
    pub fn now(&self) -> Micros {
        let micros = (time_since_boot().saturating_sub(self.origin) + self.start).as_micros();
        Micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

fn time_since_boot() -> Duration {
    // The clock exists on every Linux that the toolchain supports.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Returns the wall time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
