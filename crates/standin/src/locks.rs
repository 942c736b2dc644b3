//! Locks on rows, keys and table names, held until the end of a transaction.

use {
    crate::{
        error::{SqlError, StatementHalt},
        value::IndexKey,
    },
    banyansill_core::collections::FastMap,
    std::collections::BTreeMap,
    tokio::sync::watch,
};

/// What a lock protects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockName {
    /// Row of a table.
    Row(u64, u64),
    /// Key in a unique index of a table.
    Key(u64, usize, IndexKey),
    /// Name of a table that is created or dropped.
    Table(String),
}

/// Locks of all open transactions.
#[derive(Debug, Default)]
pub struct LockTable {
    held: BTreeMap<LockName, u64>,
    owned: FastMap<u64, Vec<LockName>>,
    waits: FastMap<u64, u64>,
    ends: FastMap<u64, watch::Sender<()>>,
}

impl LockTable {
    /// Takes a lock for a transaction, which keeps it until [`LockTable::release`].
    ///
    /// # Errors
    ///
    /// Returns the holder if another transaction has the lock, or 40P01 if that one waits for this.
    pub fn acquire(&mut self, transaction: u64, name: LockName) -> Result<(), StatementHalt> {
        self.waits.remove(&transaction);
        match self.held.get(&name) {
            Some(holder) if *holder == transaction => Ok(()),
            Some(&holder) => {
                if self.reaches(holder, transaction) {
                    return Err(SqlError::new("40P01", "deadlock detected").into());
                }
                self.waits.insert(transaction, holder);
                Err(StatementHalt::Blocked(holder))
            }
            None => {
                self.held.insert(name.clone(), transaction);
                self.owned.entry(transaction).or_default().push(name);
                Ok(())
            }
        }
    }

    /// Returns a channel that closes when the transaction ends, or nothing if it has ended.
    pub fn end_of(&mut self, transaction: u64) -> Option<watch::Receiver<()>> {
        if !self.owned.contains_key(&transaction) {
            return None;
        }
        let sender = self.ends.entry(transaction).or_insert_with(|| watch::channel(()).0);
        Some(sender.subscribe())
    }

    /// Releases every lock of a transaction and wakes the transactions that wait for it.
    pub fn release(&mut self, transaction: u64) {
        self.waits.remove(&transaction);
        for name in self.owned.remove(&transaction).unwrap_or_default() {
            self.held.remove(&name);
        }
        self.ends.remove(&transaction);
    }

    fn reaches(&self, from: u64, target: u64) -> bool {
        let mut current = from;
        // Chains of waiting transactions have no cycle, since the last wait would have been refused.
        while let Some(&next) = self.waits.get(&current) {
            if next == target {
                return true;
            }
            current = next;
        }
        false
    }
}
