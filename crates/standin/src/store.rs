//! Committed data, snapshots and open transactions.

use {
    crate::{
        error::{SqlError, StatementHalt},
        locks::{LockName, LockTable},
        table::{TableRows, TableSchema},
        value::{ColumnType, IndexKey, SharedRow, Value},
    },
    banyansill_core::{collections::FastMap, position::LogPosition},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// One change of a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DataChange {
    /// Table created.
    Create(Arc<TableSchema>),
    /// Table dropped.
    Drop(u64),
    /// Row written, or deleted without `values`.
    Write {
        /// Table of the row.
        table: u64,
        /// Number of the row.
        row: u64,
        /// New values.
        values: Option<SharedRow>,
    },
    /// Sequence advanced to its next number.
    Advance {
        /// Table of the sequence.
        table: u64,
        /// Index of the serial column.
        column: usize,
        /// Next number.
        next: i64,
    },
}

/// Rows and sequences of one table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct TableImage {
    schema: Arc<TableSchema>,
    sequences: Vec<(usize, i64)>,
    rows: Vec<(u64, SharedRow)>,
}

/// Whole data at one position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreImage {
    tables: Vec<TableImage>,
    next_table: u64,
    next_row: u64,
}

/// Point in the log that a transaction reads at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataSnapshot {
    /// Position of the last entry that is visible.
    pub position: LogPosition,
    /// Data generation the snapshot belongs to.
    pub generation: u64,
}

/// Rows that a transaction wrote in one table; `None` is a deletion.
pub type RowOverlay = BTreeMap<u64, Option<SharedRow>>;

/// Transaction with its own uncommitted changes.
#[derive(Debug)]
pub struct OpenTransaction {
    /// Number that no other transaction has.
    pub id: u64,
    /// What it reads besides its own changes.
    pub snapshot: DataSnapshot,
    /// Group epoch in which it began; commits of an earlier epoch are refused.
    pub epoch: u64,
    /// Whether an earlier statement has read at the snapshot.
    pub used: bool,
    /// Whether writes are refused.
    pub read_only: bool,
    /// Rows written, by table.
    pub writes: FastMap<u64, RowOverlay>,
    /// Tables created and not dropped again.
    pub created: BTreeMap<String, Arc<TableSchema>>,
    /// Committed tables dropped.
    pub dropped: BTreeSet<u64>,
    /// Keys of the rows in `writes`, by table and index.
    pub keys: BTreeMap<(u64, usize, IndexKey), u64>,
    /// Next numbers of the sequences used.
    pub sequences: BTreeMap<(u64, usize), i64>,
}

impl OpenTransaction {
    /// Returns whether a commit would change anything.
    pub fn has_changes(&self) -> bool {
        !self.created.is_empty()
            || !self.dropped.is_empty()
            || self.writes.values().any(|rows| !rows.is_empty())
    }

    /// Returns the changes in the order in which they are applied.
    pub fn changes(&self) -> Vec<DataChange> {
        let mut changes = Vec::new();
        for id in &self.dropped {
            changes.push(DataChange::Drop(*id));
        }
        for schema in self.created.values() {
            changes.push(DataChange::Create(schema.clone()));
        }
        let mut tables: Vec<_> = self.writes.iter().collect();
        tables.sort_by_key(|(table, _)| **table);
        for (&table, rows) in tables {
            let created = self.created.values().any(|schema| schema.id == table);
            for (&row, values) in rows {
                if created && values.is_none() {
                    continue;
                }
                changes.push(DataChange::Write { table, row, values: values.clone() });
            }
        }
        for (&(table, column), &next) in &self.sequences {
            changes.push(DataChange::Advance { table, column, next });
        }
        changes
    }
}

/// Rows written by one statement, which become part of the transaction only if all of it succeeds.
#[derive(Debug)]
pub struct StatementWrites {
    schema: Arc<TableSchema>,
    rows: RowOverlay,
    keys: BTreeMap<(usize, IndexKey), Option<u64>>,
}

impl StatementWrites {
    /// Starts a statement that writes one table.
    pub const fn new(schema: Arc<TableSchema>) -> Self {
        Self { schema, rows: RowOverlay::new(), keys: BTreeMap::new() }
    }

    /// Writes a row, or deletes it without `new`; `old` is the row that it replaces.
    ///
    /// Returns false without a write if another row has a key of one of the indexes in `skip`.
    ///
    /// # Errors
    ///
    /// Returns 23505 if another row has a key of the new one, or a halt if a key is locked.
    pub fn put(
        &mut self,
        id: u64,
        old: Option<&SharedRow>,
        new: Option<SharedRow>,
        skip: &[usize],
        data: &mut DataStore,
        transaction: &OpenTransaction,
    ) -> Result<bool, StatementHalt> {
        let schema = self.schema.clone();
        let mut changed = Vec::new();
        for (index, unique) in schema.uniques.iter().enumerate() {
            let before = old.and_then(|row| unique.key(row));
            let after = new.as_ref().and_then(|row| unique.key(row));
            if before == after {
                continue;
            }
            for key in [&before, &after].into_iter().flatten() {
                let name = LockName::Key(schema.id, index, key.clone());
                data.locks.acquire(transaction.id, name)?;
            }
            if let Some(key) = &after
                && self.is_taken(index, key, id, data, transaction)
            {
                if skip.contains(&index) {
                    return Ok(false);
                }
                let message =
                    format!("duplicate key value violates unique constraint \"{}\"", unique.name);
                return Err(SqlError::new("23505", message).into());
            }
            changed.push((index, before, after));
        }
        for (index, before, after) in changed {
            if let Some(key) = before {
                self.keys.insert((index, key), None);
            }
            if let Some(key) = after {
                self.keys.insert((index, key), Some(id));
            }
        }
        self.rows.insert(id, new);
        Ok(true)
    }

    /// Makes the rows part of the transaction.
    pub fn finish(self, transaction: &mut OpenTransaction) {
        let table = self.schema.id;
        for ((index, key), id) in self.keys {
            match id {
                Some(id) => transaction.keys.insert((table, index, key), id),
                None => transaction.keys.remove(&(table, index, key)),
            };
        }
        transaction.writes.entry(table).or_default().extend(self.rows);
    }

    fn is_taken(
        &self,
        index: usize,
        key: &IndexKey,
        id: u64,
        data: &DataStore,
        transaction: &OpenTransaction,
    ) -> bool {
        if let Some(owner) = self.keys.get(&(index, key.clone())) {
            return owner.is_some_and(|owner| owner != id);
        }
        if let Some(owner) = transaction.keys.get(&(self.schema.id, index, key.clone())) {
            return *owner != id;
        }
        let Some(rows) = data.tables.get(&self.schema.id) else { return false };
        let Some(holder) = rows.holder(index, key) else { return false };
        if holder == id {
            return false;
        }
        let own = transaction.writes.get(&self.schema.id).and_then(|own| own.get(&holder));
        match self.rows.get(&holder).or(own) {
            Some(Some(row)) => self.schema.uniques[index].key(row).as_ref() == Some(key),
            Some(None) => false,
            None => true,
        }
    }
}

/// Committed tables and the bookkeeping of open transactions.
#[derive(Debug, Default)]
pub struct DataStore {
    /// Tables by number.
    pub tables: BTreeMap<u64, TableRows>,
    /// Numbers of the tables by name.
    pub names: BTreeMap<String, u64>,
    /// Locks of open transactions.
    pub locks: LockTable,
    /// Rises when applied entries are taken back; older snapshots are then void.
    pub generation: u64,
    next_table: u64,
    next_row: u64,
    next_transaction: u64,
    snapshots: BTreeMap<u64, usize>,
    superseded: VecDeque<(u64, u64, u64)>,
}

impl DataStore {
    /// Takes a snapshot at `position`, the last applied entry.
    pub fn take_snapshot(&mut self, position: LogPosition) -> DataSnapshot {
        *self.snapshots.entry(position.offset).or_default() += 1;
        DataSnapshot { position, generation: self.generation }
    }

    /// Gives a snapshot back.
    pub fn drop_snapshot(&mut self, snapshot: DataSnapshot) {
        if snapshot.generation != self.generation {
            return;
        }
        let offset = snapshot.position.offset;
        let Some(count) = self.snapshots.get_mut(&offset) else { return };
        *count -= 1;
        if *count == 0 {
            self.snapshots.remove(&offset);
        }
    }

    /// Opens a transaction that reads at `position`.
    pub fn begin(&mut self, position: LogPosition, epoch: u64) -> OpenTransaction {
        self.next_transaction += 1;
        OpenTransaction {
            id: self.next_transaction,
            snapshot: self.take_snapshot(position),
            epoch,
            used: false,
            read_only: false,
            writes: FastMap::default(),
            created: BTreeMap::new(),
            dropped: BTreeSet::new(),
            keys: BTreeMap::new(),
            sequences: BTreeMap::new(),
        }
    }

    /// Forgets a transaction after its commit or rollback.
    pub fn end(&mut self, transaction: &OpenTransaction) {
        self.drop_snapshot(transaction.snapshot);
        self.locks.release(transaction.id);
    }

    /// Returns a number for a new table.
    pub const fn allocate_table(&mut self) -> u64 {
        self.next_table += 1;
        self.next_table
    }

    /// Returns a number for a new row.
    pub const fn allocate_row(&mut self) -> u64 {
        self.next_row += 1;
        self.next_row
    }

    /// Returns the table with a name as the transaction sees it.
    ///
    /// # Errors
    ///
    /// Returns 42P01 if there is none.
    pub fn schema(
        &self,
        transaction: &OpenTransaction,
        name: &str,
    ) -> Result<Arc<TableSchema>, SqlError> {
        if let Some(schema) = transaction.created.get(name) {
            return Ok(schema.clone());
        }
        let id = self.names.get(name).filter(|id| !transaction.dropped.contains(id));
        id.and_then(|id| self.tables.get(id))
            .map(|table| table.schema.clone())
            .ok_or_else(|| SqlError::new("42P01", format!("relation \"{name}\" does not exist")))
    }

    /// Takes the next number of a serial column; it is not given back by a rollback.
    ///
    /// # Errors
    ///
    /// Returns 2200H if the numbers are used up.
    pub fn next_number(
        &mut self,
        transaction: &mut OpenTransaction,
        schema: &TableSchema,
        column: usize,
    ) -> Result<Value, SqlError> {
        let own = transaction.sequences.entry((schema.id, column)).or_insert(1);
        let next = match self.tables.get_mut(&schema.id) {
            Some(rows) => rows.sequences.entry(column).or_insert(1),
            None => &mut *own,
        };
        let number = *next;
        if schema.columns[column].kind == ColumnType::Int4 && i32::try_from(number).is_err() {
            return Err(SqlError::new("2200H", "reached maximum value of sequence"));
        }
        *next += 1;
        *own = number + 1;
        Ok(Value::Int(number))
    }

    /// Creates a table in a transaction.
    ///
    /// # Errors
    ///
    /// Returns 42P07 if the table exists, or a halt if another transaction creates or drops it.
    pub fn create_table(
        &mut self,
        transaction: &mut OpenTransaction,
        mut schema: TableSchema,
        if_not_exists: bool,
    ) -> Result<(), StatementHalt> {
        self.locks.acquire(transaction.id, LockName::Table(schema.name.clone()))?;
        if self.schema(transaction, &schema.name).is_ok() {
            if if_not_exists {
                return Ok(());
            }
            let message = format!("relation \"{}\" already exists", schema.name);
            return Err(SqlError::new("42P07", message).into());
        }
        schema.id = self.allocate_table();
        transaction.created.insert(schema.name.clone(), Arc::new(schema));
        Ok(())
    }

    /// Drops a table in a transaction.
    ///
    /// # Errors
    ///
    /// Returns 42P01 if there is none, or a halt if another transaction creates or drops it.
    pub fn drop_table(
        &mut self,
        transaction: &mut OpenTransaction,
        name: &str,
        if_exists: bool,
    ) -> Result<(), StatementHalt> {
        self.locks.acquire(transaction.id, LockName::Table(name.to_owned()))?;
        let schema = match self.schema(transaction, name) {
            Ok(schema) => schema,
            Err(_) if if_exists => return Ok(()),
            Err(_) => {
                let message = format!("table \"{name}\" does not exist");
                return Err(SqlError::new("42P01", message).into());
            }
        };
        if transaction.created.remove(name).is_none() {
            transaction.dropped.insert(schema.id);
        }
        transaction.writes.remove(&schema.id);
        transaction.keys.retain(|(table, _, _), _| *table != schema.id);
        transaction.sequences.retain(|(table, _), _| *table != schema.id);
        Ok(())
    }

    /// Applies the changes of the entry at `offset`.
    pub fn apply(&mut self, offset: u64, changes: &[DataChange]) {
        for change in changes {
            match change {
                DataChange::Create(schema) => {
                    self.next_table = self.next_table.max(schema.id);
                    self.names.insert(schema.name.clone(), schema.id);
                    self.tables.insert(schema.id, TableRows::new(schema.clone()));
                }
                DataChange::Drop(id) => {
                    if let Some(table) = self.tables.remove(id) {
                        self.names.remove(&table.schema.name);
                    }
                }
                DataChange::Write { table, row, values } => {
                    self.next_row = self.next_row.max(*row);
                    let Some(rows) = self.tables.get_mut(table) else { continue };
                    if rows.write(*row, offset, values.clone()) {
                        self.superseded.push_back((offset, *table, *row));
                    }
                }
                DataChange::Advance { table, column, next } => {
                    let Some(rows) = self.tables.get_mut(table) else { continue };
                    let current = rows.sequences.entry(*column).or_insert(1);
                    *current = (*current).max(*next);
                }
            }
        }
        self.prune(offset);
    }

    fn prune(&mut self, applied: u64) {
        let horizon = self.snapshots.keys().next().map_or(applied, |oldest| applied.min(*oldest));
        while let Some(&(offset, table, row)) = self.superseded.front() {
            if offset > horizon {
                return;
            }
            self.superseded.pop_front();
            if let Some(rows) = self.tables.get_mut(&table) {
                rows.prune(row, horizon);
            }
        }
    }

    /// Returns all data that a snapshot at `offset` sees.
    pub fn image(&self, offset: u64) -> StoreImage {
        let mut tables = Vec::with_capacity(self.tables.len());
        for table in self.tables.values() {
            let mut rows = Vec::new();
            let mut after = None;
            while let Some((id, row)) = table.next_visible(after, offset) {
                rows.push((id, row.clone()));
                after = Some(id);
            }
            let sequences = table.sequences.iter().map(|(column, next)| (*column, *next)).collect();
            tables.push(TableImage { schema: table.schema.clone(), sequences, rows });
        }
        StoreImage { tables, next_table: self.next_table, next_row: self.next_row }
    }

    /// Replaces all data by an image of `offset`; open snapshots become void.
    pub fn install(&mut self, offset: u64, image: StoreImage) {
        self.reset();
        self.next_table = image.next_table;
        self.next_row = image.next_row;
        for table in image.tables {
            let mut rows = TableRows::new(table.schema.clone());
            rows.sequences.extend(table.sequences);
            for (id, row) in table.rows {
                rows.write(id, offset, Some(row));
            }
            self.names.insert(table.schema.name.clone(), table.schema.id);
            self.tables.insert(table.schema.id, rows);
        }
    }

    /// Discards all data; open snapshots become void, locks and transaction numbers stay.
    pub fn reset(&mut self) {
        let fresh = Self {
            locks: std::mem::take(&mut self.locks),
            generation: self.generation + 1,
            next_transaction: self.next_transaction,
            ..Self::default()
        };
        *self = fresh;
    }
}
