//! Monotonic and wall clocks.

use {
    banyansill_core::time::Micros,
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Reading of a clock at its creation. Times before it can be told, such as that of a mark which another process
/// had for seconds when this one started.
const START: Duration = Duration::from_secs(3_600);

/// Monotonic clock; clones share the origin.
///
/// It counts the time for which the machine was suspended, unlike [`std::time::Instant`]: a process
/// that wakes up must see that its leases and confirmations have run out.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Duration,
}

impl MonotonicClock {
    /// Starts a clock at one hour.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: time_since_boot() }
    }

    /// Returns the time on the clock.
    #[must_use]
    pub fn now(&self) -> Micros {
        let micros = (time_since_boot().saturating_sub(self.origin) + START).as_micros();
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
