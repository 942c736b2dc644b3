//! Tables whose rows keep one version for each log offset that a snapshot can still see.

use {
    crate::value::{ColumnType, IndexKey, SharedRow, Value},
    banyansill_core::collections::FastMap,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Bound::{Excluded, Unbounded},
        sync::Arc,
    },
};

/// Column of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColumnSpec {
    /// Name, folded to lower case unless it was quoted.
    pub name: String,
    /// Type.
    pub kind: ColumnType,
    /// Whether null is refused.
    pub not_null: bool,
    /// Value that an insert without the column stores.
    pub default: Option<Value>,
    /// Whether an insert without the column takes the next number of a sequence.
    pub serial: bool,
}

/// Columns that identify at most one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UniqueSpec {
    /// Name of the constraint.
    pub name: String,
    /// Indexes of the columns.
    pub columns: Vec<usize>,
}

impl UniqueSpec {
    /// Returns the key of a row, or nothing if a column is null.
    pub fn key(&self, row: &[Value]) -> Option<IndexKey> {
        let mut values = Vec::with_capacity(self.columns.len());
        for &column in &self.columns {
            if row[column].is_null() {
                return None;
            }
            values.push(row[column].clone());
        }
        Some(IndexKey(values))
    }
}

/// Definition of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableSchema {
    /// Number that no other table has had.
    pub id: u64,
    /// Name.
    pub name: String,
    /// Columns in order.
    pub columns: Vec<ColumnSpec>,
    /// Primary key and unique constraints.
    pub uniques: Vec<UniqueSpec>,
}

impl TableSchema {
    /// Returns the index of the column with a name.
    pub fn column(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column.name == name)
    }
}

#[derive(Clone, Debug)]
struct RowVersion {
    offset: u64,
    row: Option<SharedRow>,
}

/// Committed rows of one table.
#[derive(Debug)]
pub struct TableRows {
    /// Definition.
    pub schema: Arc<TableSchema>,
    /// Next number of each serial column.
    pub sequences: FastMap<usize, i64>,
    chains: BTreeMap<u64, Vec<RowVersion>>,
    indexes: Vec<BTreeMap<IndexKey, Vec<u64>>>,
}

impl TableRows {
    /// Creates an empty table.
    pub fn new(schema: Arc<TableSchema>) -> Self {
        let indexes = schema.uniques.iter().map(|_| BTreeMap::new()).collect();
        Self { schema, sequences: FastMap::default(), chains: BTreeMap::new(), indexes }
    }

    /// Returns the row that a snapshot at `offset` sees.
    pub fn visible(&self, row: u64, offset: u64) -> Option<&SharedRow> {
        visible(self.chains.get(&row)?, offset)
    }

    /// Returns the offset of the row's latest version, or 0.
    pub fn latest_offset(&self, row: u64) -> u64 {
        self.chains.get(&row).and_then(|chain| chain.last()).map_or(0, |version| version.offset)
    }

    /// Returns the first row after `after` that a snapshot at `offset` sees.
    pub fn next_visible(&self, after: Option<u64>, offset: u64) -> Option<(u64, &SharedRow)> {
        let start = after.map_or(Unbounded, Excluded);
        for (id, chain) in self.chains.range((start, Unbounded)) {
            if let Some(row) = visible(chain, offset) {
                return Some((*id, row));
            }
        }
        None
    }

    /// Returns up to `limit` rows after `after` that a snapshot at `offset` sees.
    pub fn visible_batch(
        &self,
        after: Option<u64>,
        offset: u64,
        limit: usize,
    ) -> VecDeque<(u64, SharedRow)> {
        let start = after.map_or(Unbounded, Excluded);
        let mut batch = VecDeque::new();
        for (id, chain) in self.chains.range((start, Unbounded)) {
            let Some(row) = visible(chain, offset) else { continue };
            batch.push_back((*id, row.clone()));
            if batch.len() == limit {
                break;
            }
        }
        batch
    }

    /// Returns the numbers of rows of which some version has the key.
    pub fn candidates(&self, index: usize, key: &IndexKey) -> &[u64] {
        self.indexes[index].get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of the live row that has the key, if any.
    pub fn holder(&self, index: usize, key: &IndexKey) -> Option<u64> {
        let spec = &self.schema.uniques[index];
        self.candidates(index, key).iter().copied().find(|id| {
            let row = self.visible(*id, u64::MAX);
            row.and_then(|row| spec.key(row)).as_ref() == Some(key)
        })
    }

    /// Adds a version; returns whether it replaces an earlier one.
    pub fn write(&mut self, id: u64, offset: u64, row: Option<SharedRow>) -> bool {
        if let Some(row) = &row {
            for (spec, entries) in self.schema.uniques.iter().zip(&mut self.indexes) {
                let Some(key) = spec.key(row) else { continue };
                let ids = entries.entry(key).or_default();
                if !ids.contains(&id) {
                    ids.push(id);
                }
            }
        }
        let chain = self.chains.entry(id).or_default();
        chain.push(RowVersion { offset, row });
        chain.len() > 1
    }

    /// Drops versions of a row that no snapshot at or after `horizon` can see.
    pub fn prune(&mut self, id: u64, horizon: u64) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let keep = chain.iter().rposition(|version| version.offset <= horizon).unwrap_or(0);
        let mut dropped: Vec<RowVersion> = chain.drain(..keep).collect();
        if chain.len() == 1 && chain[0].row.is_none() && chain[0].offset <= horizon {
            dropped.append(chain);
        }
        for version in dropped {
            let Some(row) = version.row else { continue };
            for (spec, entries) in self.schema.uniques.iter().zip(&mut self.indexes) {
                let Some(key) = spec.key(&row) else { continue };
                let used = chain.iter().any(|version| {
                    version.row.as_ref().and_then(|row| spec.key(row)).as_ref() == Some(&key)
                });
                if used {
                    continue;
                }
                let Some(ids) = entries.get_mut(&key) else { continue };
                ids.retain(|other| *other != id);
                if ids.is_empty() {
                    entries.remove(&key);
                }
            }
        }
        if chain.is_empty() {
            self.chains.remove(&id);
        }
    }
}

fn visible(chain: &[RowVersion], offset: u64) -> Option<&SharedRow> {
    chain.iter().rev().find(|version| version.offset <= offset)?.row.as_ref()
}
