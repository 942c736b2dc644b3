//! Callers that are connected to this entry.

use {
    banyansill_core::collections::FastMap,
    rand::Rng,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Key with which a caller cancels its running statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the session at this entry, sent as the process ID.
    pub process: i32,
    /// Random secret that only this caller receives.
    pub secret: i32,
}

#[derive(Debug, Default)]
struct KeyTable {
    last: i32,
    keys: FastMap<i32, (i32, Arc<Notify>)>,
}

/// Connected callers of an entry: their number, their cancel keys and the drain signal.
#[derive(Debug)]
pub struct CallerRegistry {
    limit: usize,
    open: AtomicUsize,
    emptied: Notify,
    draining: watch::Sender<bool>,
    table: Mutex<KeyTable>,
}

impl CallerRegistry {
    /// Creates a registry for at most `limit` callers.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: AtomicUsize::new(0),
            emptied: Notify::new(),
            draining: watch::Sender::new(false),
            table: Mutex::default(),
        }
    }

    /// Returns the number of connected callers.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns whether more callers are connected than the limit allows.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.open() > self.limit
    }

    /// Returns a receiver whose value becomes true when the entry starts to drain.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Counts a caller as connected until the registration is dropped.
    #[must_use]
    pub fn register(self: &Arc<Self>) -> CallerRegistration {
        self.open.fetch_add(1, Ordering::AcqRel);
        CallerRegistration { registry: self.clone(), key: None, cancel: Arc::new(Notify::new()) }
    }

    /// Cancels the statement that runs in the session with the given key, if there is one.
    pub fn cancel(&self, key: CancelKey) {
        let table = self.lock();
        if let Some((secret, cancel)) = table.keys.get(&key.process)
            && *secret == key.secret
        {
            // `notify_one` would store a permit if no statement runs and cancel a later statement.
            cancel.notify_waiters();
        }
    }

    /// Signals all sessions to end and waits until they have.
    ///
    /// Returns the number of callers that are still connected at the end of the grace period.
    pub async fn drain(&self, grace_period: Duration) -> usize {
        self.draining.send_replace(true);
        let emptied = async {
            loop {
                let notified = self.emptied.notified();
                if self.open() == 0 {
                    return;
                }
                notified.await;
            }
        };
        let _ = timeout(grace_period, emptied).await;
        self.open()
    }

    fn lock(&self) -> MutexGuard<'_, KeyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one caller; dropping it removes the caller from the registry.
#[derive(Debug)]
pub struct CallerRegistration {
    registry: Arc<CallerRegistry>,
    key: Option<CancelKey>,
    /// Notified when the session's running statement is to be cancelled.
    pub cancel: Arc<Notify>,
}

impl CallerRegistration {
    /// Creates and stores the caller's cancel key.
    pub fn issue_key(&mut self) -> CancelKey {
        let secret = rand::rng().random();
        let mut table = self.registry.lock();
        loop {
            table.last = table.last.checked_add(1).unwrap_or(1);
            let process = table.last;
            if table.keys.contains_key(&process) {
                continue;
            }
            table.keys.insert(process, (secret, self.cancel.clone()));
            let key = CancelKey { process, secret };
            self.key = Some(key);
            return key;
        }
    }
}

impl Drop for CallerRegistration {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.registry.lock().keys.remove(&key.process);
        }
        if self.registry.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.registry.emptied.notify_waiters();
        }
    }
}
