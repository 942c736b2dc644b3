//! Index from entry processes to the targets whose connections they may hold.

use {
    super::record::{BrokerRef, DatabaseRecord, TargetRecord},
    crate::names::SharedName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Targets by the entry process that is their broker or is releasing them.
///
/// The index is derived from the database records and is not part of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HolderIndex {
    held: BTreeMap<BrokerRef, BTreeSet<(SharedName, SharedName)>>,
    /// Number of targets that a process is releasing.
    releasing: usize,
}

impl HolderIndex {
    /// Builds the index from all database records, after a snapshot was restored.
    pub(super) fn from_databases(databases: &BTreeMap<SharedName, DatabaseRecord>) -> Self {
        let mut index = Self::default();
        for (name, database) in databases {
            for (server, target) in &database.targets {
                index.add(name, server, target);
            }
        }
        index
    }

    /// Adds a target to the processes that its record names as broker or as releasing.
    pub(super) fn add(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        target: &TargetRecord,
    ) {
        self.releasing += usize::from(target.releasing.is_some());
        for holder in target.broker.iter().chain(target.releasing.iter()) {
            let key = (database.clone(), server.clone());
            self.held.entry(holder.clone()).or_default().insert(key);
        }
    }

    /// Removes a target from the processes that its record names.
    ///
    /// This must be called before the record changes.
    pub(super) fn remove(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        target: &TargetRecord,
    ) {
        self.releasing = self.releasing.saturating_sub(usize::from(target.releasing.is_some()));
        let key = (database.clone(), server.clone());
        for holder in target.broker.iter().chain(target.releasing.iter()) {
            let Some(targets) = self.held.get_mut(holder) else { continue };
            targets.remove(&key);
            if targets.is_empty() {
                self.held.remove(holder);
            }
        }
    }

    /// Returns the number of targets that a process is releasing.
    pub(super) const fn releasing(&self) -> usize {
        self.releasing
    }

    /// Returns the database and server of each target that a process holds.
    pub(super) fn targets_of_process(
        &self,
        holder: &BrokerRef,
    ) -> impl Iterator<Item = &(SharedName, SharedName)> {
        self.held.get(holder).into_iter().flatten()
    }

    /// Returns the targets that any process of a host holds; a target that moves between two of its
    /// processes is returned twice.
    pub(super) fn targets_of_host(
        &self,
        host: &SharedName,
    ) -> impl Iterator<Item = &(SharedName, SharedName)> {
        let first = BrokerRef { host: host.clone(), incarnation: 0 };
        let last = BrokerRef { host: host.clone(), incarnation: u64::MAX };
        self.held.range(first..=last).flat_map(|(_, targets)| targets)
    }
}
