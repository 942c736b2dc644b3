//! Monotonic and wall clocks.

use {
    banyansill_core::time::Micros,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Monotonic clock that counts from its creation; clones share the origin.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Micros {
        let micros = self.origin.elapsed().as_micros();
        Micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the wall time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
