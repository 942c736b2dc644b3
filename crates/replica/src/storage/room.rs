//! State of a full disk, shared by the storage thread and the replica.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Whether the disk is full, and whether the storage should stop waiting for room; clones share it.
#[derive(Clone, Debug, Default)]
pub struct DiskRoom {
    full: Arc<AtomicBool>,
    abandoned: Arc<AtomicBool>,
}

impl DiskRoom {
    /// Returns whether a write is waiting for room.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.full.load(Ordering::Acquire)
    }

    /// Makes a write that waits for room fail, so that the storage can be closed.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Release);
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::Acquire)
    }

    pub(super) fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Release);
    }
}
