//! The node lease as every task of the entry sees it.

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
    /// Creates a lease that has already run out.
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
    /// Read the clock again before each acknowledgement: the process may have been paused.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.clock.now().0 < self.expiry.load(Ordering::Acquire)
    }

    /// Returns the time left, or zero.
    #[must_use]
    pub fn remaining(&self) -> Micros {
        Micros(self.expiry.load(Ordering::Acquire)).since(self.clock.now())
    }
}
