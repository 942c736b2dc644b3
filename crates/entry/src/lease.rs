//! The node lease, shared by all tasks of the entry.

use {
    banyansill_core::time::Micros,
    banyansill_runtime::clock::MonotonicClock,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// The entry's node lease; clones share the expiry.
#[derive(Clone, Debug)]
pub struct NodeLease {
    clock: MonotonicClock,
    expiry: Arc<AtomicU64>,
}

impl NodeLease {
    /// Creates an expired lease.
    #[must_use]
    pub fn new(clock: MonotonicClock) -> Self {
        Self { clock, expiry: Arc::new(AtomicU64::new(0)) }
    }

    /// Extends the lease to `expiry`; an earlier expiry has no effect.
    pub fn extend(&self, expiry: Micros) {
        self.expiry.fetch_max(expiry.0, Ordering::AcqRel);
    }

    /// Returns whether the lease is valid now.
    ///
    /// Call this again before each acknowledgement: the process may have been paused since the last
    /// call.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.clock.now().0 < self.expiry.load(Ordering::Acquire)
    }

    /// Returns the time until the lease expires, or zero if it has expired.
    #[must_use]
    pub fn remaining(&self) -> Micros {
        Micros(self.expiry.load(Ordering::Acquire)).since(self.clock.now())
    }
}
