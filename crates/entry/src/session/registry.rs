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

/// Key that a caller presents to cancel its running statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the session at this entry.
    pub process: i32,
    /// Secret that only the caller knows.
    pub secret: i32,
}

#[derive(Debug, Default)]
struct KeyTable {
    last: i32,
    keys: FastMap<i32, (i32, Arc<Notify>)>,
}

/// All callers of an entry: their number, their cancel keys and the order to drain.
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

    /// Returns a receiver that turns true when the entry drains.
    #[must_use]
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Counts a caller until the ticket is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> CallerTicket {
        self.open.fetch_add(1, Ordering::AcqRel);
        CallerTicket { registry: self.clone(), key: None, cancel: Arc::new(Notify::new()) }
    }

    /// Cancels the statement that runs in the session with the given key, if there is one.
    pub fn cancel(&self, key: CancelKey) {
        let table = self.lock();
        if let Some((secret, cancel)) = table.keys.get(&key.process)
            && *secret == key.secret
        {
            // Wakes a waiting session only: a stored permit would cancel a later statement.
            cancel.notify_waiters();
        }
    }

    /// Tells every session to end and waits for that; returns the number still open at the bound.
    pub async fn drain(&self, bound: Duration) -> usize {
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
        let _ = timeout(bound, emptied).await;
        self.open()
    }

    fn lock(&self) -> MutexGuard<'_, KeyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of one caller in the registry.
#[derive(Debug)]
pub struct CallerTicket {
    registry: Arc<CallerRegistry>,
    key: Option<CancelKey>,
    /// Wakes the session when its statement is to be cancelled.
    pub cancel: Arc<Notify>,
}

impl CallerTicket {
    /// Issues the caller's cancel key.
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

impl Drop for CallerTicket {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.registry.lock().keys.remove(&key.process);
        }
        if self.registry.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.registry.emptied.notify_waiters();
        }
    }
}
