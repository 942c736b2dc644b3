//! The replicated cluster state: members, database groups, terms, broker assignments and the sheet.
//!
//! A command carries the versions, epochs or terms that its proposer based it on and is rejected if
//! they have changed (optimistic concurrency control), so repeated and concurrent proposals are
//! harmless. The version of the state is the log index of the last command that changed it, and is
//! equal on all replicas.

mod apply;
mod change;
mod command;
mod holder;
mod record;
mod scope;
mod sheets;

pub use {
    crate::change::CHANGES_KEPT,
    change::{ChangeSet, ChangedItem},
    command::{ClusterCommand, ClusterRejection, ClusterReply},
    record::{
        BrokerRef, CandidateRecord, DatabaseRecord, EntryInfo, EntryRecord, SheetRecord,
        TargetInfo, TargetRecord, TermRecord,
    },
    scope::{OperatorScope, RowChange, RowDifference, row_differences},
    sheets::{MAX_SHEET_RECORDS, MAX_STORED_REPLIES, sheet_digest},
};

use {
    crate::{
        change::ChangeList,
        collections::FastMap,
        names::SharedName,
        state_machine::{SnapshotError, StateMachine},
    },
    holder::HolderIndex,
    serde::{Deserialize, Serialize},
    sheets::{AcceptedSheets, RequestTable},
    std::collections::BTreeMap,
};

/// The part of the state that snapshots contain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ClusterData {
    version: u64,
    entries: BTreeMap<SharedName, EntryRecord>,
    databases: BTreeMap<SharedName, DatabaseRecord>,
    sheets: AcceptedSheets,
    requests: RequestTable,
}

/// The replicated state machine of control: applies `ClusterCommand`s in log order.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    data: ClusterData,
    changes: ChangeList<ChangedItem>,
    /// Database and server of the target that owns an address; derived from `data`.
    addresses: FastMap<SharedName, (SharedName, SharedName)>,
    /// Targets by the entry process that may hold their connections; derived from `data`.
    holders: HolderIndex,
}

impl ClusterState {
    /// Returns the log index of the last command that changed the state.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.data.version
    }

    /// Returns all entries by host name, including those that are not live.
    #[must_use]
    pub const fn entries(&self) -> &BTreeMap<SharedName, EntryRecord> {
        &self.data.entries
    }

    /// Returns all database groups by name.
    #[must_use]
    pub const fn databases(&self) -> &BTreeMap<SharedName, DatabaseRecord> {
        &self.data.databases
    }

    /// Returns the record of a target, or `None` if the database or the server is unknown.
    #[must_use]
    pub fn target(&self, database: &str, server: &str) -> Option<&TargetRecord> {
        self.data.databases.get(database)?.targets.get(server)
    }

    /// Returns the database and server of each target that an entry process is the broker of or may
    /// still hold connections to.
    pub fn held_by(&self, entry: &BrokerRef) -> impl Iterator<Item = &(SharedName, SharedName)> {
        self.holders.targets_of_process(entry)
    }

    /// Returns the same for all processes of a host.
    ///
    /// A target that moves between two of them is returned twice.
    pub fn held_by_host(
        &self,
        host: &SharedName,
    ) -> impl Iterator<Item = &(SharedName, SharedName)> {
        self.holders.targets_of_host(host)
    }

    /// Returns the address of the broker that a target announces itself to, or `None` while it
    /// announces itself to control.
    ///
    /// Targets of a group without a primary announce themselves to control, since it adopts the
    /// primary only from announcements that it received itself.
    #[must_use]
    pub fn announce_to(&self, database: &str, server: &str) -> Option<&SharedName> {
        let group = self.data.databases.get(database).filter(|group| group.term > 0)?;
        let address = &self.live_broker(group.targets.get(server)?)?.info.announce_address;
        (!address.is_empty()).then_some(address)
    }

    /// Returns the number of targets whose broker was revoked and not replaced yet.
    #[must_use]
    pub const fn releasing_count(&self) -> usize {
        self.holders.releasing()
    }

    /// Returns the record of the current sheet, or `None` before the first one is accepted.
    #[must_use]
    pub fn sheet(&self) -> Option<&SheetRecord> {
        self.data.sheets.current()
    }

    /// Returns the CSV text of the current sheet; empty before the first one is accepted.
    #[must_use]
    pub fn sheet_content(&self) -> &str {
        self.data.sheets.content()
    }

    /// Returns the records of the last `MAX_SHEET_RECORDS` accepted sheets, oldest first.
    #[must_use]
    pub fn sheet_history(&self) -> Vec<SheetRecord> {
        self.data.sheets.history()
    }

    /// Returns the items that changed after version `since`.
    #[must_use]
    pub fn changes_since(&self, since: u64) -> ChangeSet {
        self.changes.since(since, self.data.version)
    }

    /// Returns the live entry that is the broker of a target.
    ///
    /// Returns `None` if the broker is an earlier process of the same host, so that a restarted entry
    /// does not act as broker before the lease of its predecessor has expired.
    #[must_use]
    pub fn live_broker(&self, target: &TargetRecord) -> Option<&EntryRecord> {
        let broker = target.broker.as_ref()?;
        let entry = self.data.entries.get(&broker.host)?;
        (entry.live && entry.info.incarnation == broker.incarnation).then_some(entry)
    }
}

impl StateMachine for ClusterState {
    type Response = ClusterReply;

    fn apply(&mut self, index: u64, command: &[u8]) -> ClusterReply {
        match ClusterCommand::decode(command) {
            Ok(command) => self.apply_command(index, command),
            Err(rejection) => ClusterReply::Rejected(rejection),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&self.data).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let data: ClusterData =
            serde_json::from_slice(snapshot).map_err(|error| SnapshotError(error.to_string()))?;
        let mut addresses = FastMap::default();
        for (name, database) in &data.databases {
            for (server, target) in &database.targets {
                if !target.info.address.is_empty() {
                    addresses.insert(target.info.address.clone(), (name.clone(), server.clone()));
                }
            }
        }
        self.changes = ChangeList::starting_at(data.version);
        self.addresses = addresses;
        self.holders = HolderIndex::from_databases(&data.databases);
        self.data = data;
        Ok(())
    }
}
