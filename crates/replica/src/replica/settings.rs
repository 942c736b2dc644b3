//! Settings of a replica.

use {
    crate::storage::{StorageError, StorageSettings},
    banyansill_core::{names::SharedName, state_machine::SnapshotError},
    miette::Diagnostic,
    std::path::PathBuf,
    thiserror::Error,
};

/// Log entries after which the default settings take a snapshot.
pub const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Replica named in the settings of a new cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMember {
    /// Host name.
    pub host: SharedName,
    /// IP address and port of the tonic listener.
    pub address: SharedName,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Own host name.
    pub host: SharedName,
    /// IP address and port at which other replicas reach this one.
    pub address: SharedName,
    /// Data folder.
    pub folder: PathBuf,
    /// Members of the cluster when it is founded; used only until then.
    pub initial_members: Vec<InitialMember>,
    /// Addresses of the members where their hosts are not known beforehand; if there are any, they take
    /// the place of `initial_members`.
    pub seeds: Vec<SharedName>,
    /// Whether this replica waits to be added to an existing cluster instead of founding one.
    pub join: bool,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Limits of the storage.
    pub storage: StorageSettings,
}

impl ReplicaSettings {
    /// Creates the settings of a replica that is a cluster of its own.
    #[must_use]
    pub fn single(host: SharedName, address: SharedName, folder: PathBuf) -> Self {
        let initial = InitialMember { host: host.clone(), address: address.clone() };
        Self {
            host,
            address,
            folder,
            initial_members: vec![initial],
            seeds: Vec::new(),
            join: false,
            snapshot_entries: SNAPSHOT_ENTRIES,
            storage: StorageSettings::default(),
        }
    }
}

/// Replica that cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum ReplicaError {
    /// The data folder cannot be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Storage(#[from] StorageError),
    /// The saved snapshot does not fit the state machine.
    #[error(transparent)]
    #[diagnostic(code(banyansill::replica::snapshot))]
    Snapshot(#[from] SnapshotError),
    /// The storage thread cannot be started.
    #[error("cannot start the storage thread: {0}")]
    #[diagnostic(code(banyansill::replica::thread))]
    Thread(#[from] std::io::Error),
}
