//! Monotonic and wall clocks.

use {
    banyansill_core::time::Micros,
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Monotonic clock that counts from its creation; clones share the origin.
///
/// Unlike [`std::time::Instant`], it includes the time for which the machine was suspended: a process that
/// resumes must see that its leases and confirmations have expired.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    /// Time since boot at which the clock was created.
    origin: Duration,
    /// Reading at which the clock was created.
    start: Duration,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(Micros::ZERO)
    }

    /// Starts a clock at a reading above zero, so that times before its creation can be represented.
    #[must_use]
    pub fn start_at(reading: Micros) -> Self {
        Self { origin: time_since_boot(), start: reading.as_duration() }
    }

    /// Returns the current reading of the clock.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
