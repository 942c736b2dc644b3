//! Transactions of a session.

use {
    super::{CallerSession, TransactionBlock},
    crate::error::SqlError,
    banyansill_runtime::clock::wall_millis,
};

impl CallerSession {
    /// Opens a transaction unless there is one.
    pub(super) fn ensure_transaction(&mut self) {
        if self.transaction.is_some() {
            return;
        }
        let mut transaction = self.shared.write().begin();
        transaction.read_only = if self.block == TransactionBlock::Idle {
            self.variables.default_read_only()
        } else {
            self.block_read_only
        };
        self.transaction = Some(transaction);
    }

    /// Moves a transaction that has not read anything to the current data.
    pub(super) fn refresh_snapshot(&mut self) {
        let Some(transaction) = &mut self.transaction else { return };
        if !transaction.used && !self.shared.read().is_current(transaction) {
            self.shared.write().refresh(transaction);
        }
    }

    /// Commits the transaction, if there is one; portals end with it.
    pub(super) fn commit(&mut self) -> Result<(), SqlError> {
        self.portals.clear();
        let Some(transaction) = self.transaction.take() else { return Ok(()) };
        let result = {
            let mut state = self.shared.write();
            // Read under the lock, so that the stamps of the log never fall.
            state.commit(&transaction, wall_millis())
        };
        if transaction.has_changes() && result.is_ok() {
            self.shared.notify();
        }
        let position = result?;
        if transaction.used {
            self.position = position;
        }
        Ok(())
    }

    /// Rolls the transaction back, if there is one; portals end with it.
    pub(super) fn roll_back(&mut self) {
        self.portals.clear();
        let Some(transaction) = self.transaction.take() else { return };
        self.shared.write().data.end(&transaction);
        if transaction.used {
            self.position = transaction.snapshot.position;
        }
    }

    /// Opens a transaction block.
    pub(super) fn begin_block(&mut self, read_only: bool) {
        self.block = TransactionBlock::Open;
        self.block_read_only = read_only;
        self.variables.begin();
        // Statements of the same message before `BEGIN` become part of the block.
        if let Some(transaction) = &mut self.transaction {
            transaction.read_only = read_only;
        }
    }

    /// Ends a transaction block; returns whether it was committed.
    pub(super) fn end_block(&mut self, commit: bool) -> Result<bool, SqlError> {
        let committed = commit && self.block != TransactionBlock::Failed;
        self.block = TransactionBlock::Idle;
        if !committed {
            self.roll_back();
            self.variables.end(false);
            return Ok(false);
        }
        let result = self.commit();
        self.variables.end(result.is_ok());
        result.map(|()| true)
    }
}
