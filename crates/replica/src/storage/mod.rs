//! Durable part of the replicated log: segment files, snapshots and the replica's identity.
//!
//! A data folder contains `identity`, `lock`, at most one `snapshot-<index>` and the segments
//! `segment-<number>`. A segment is a sequence of records, each of which is written and synced as a unit. A
//! record that was only partly written when the process crashed is therefore the last one of the last
//! segment, and none of its changes were ever acknowledged.

mod codec;
mod disk;
mod log_storage;
mod record;
mod replay;
mod room;

pub use {
    codec::{entry_from_wire, entry_to_wire, members_from_wire, members_to_wire},
    disk::{DiskAccess, SystemDisk},
    log_storage::{LogStorage, RestoredReplica, StorageSettings},
    room::DiskRoom,
};

use {miette::Diagnostic, std::path::PathBuf, thiserror::Error};

/// Reason why a data folder cannot be read or written.
#[derive(Debug, Error, Diagnostic)]
pub enum StorageError {
    /// A file operation failed.
    #[error("cannot {action} {}: {source}", path.display())]
    #[diagnostic(code(banyansill::storage::io))]
    Io {
        /// Verb for the operation, such as `sync`.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is corrupt in a way that a crash does not explain.
    #[error("{} is corrupt at offset {offset}: {reason}", path.display())]
    #[diagnostic(
        code(banyansill::storage::corrupt),
        help(
            "the disk lost data that was already acknowledged; remove this replica from the \
             cluster, empty its data folder and add it again"
        )
    )]
    Corrupt {
        /// File.
        path: PathBuf,
        /// Offset of the damaged record.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// Another process has locked the folder.
    #[error("{} is in use by another process", path.display())]
    #[diagnostic(code(banyansill::storage::locked))]
    Locked {
        /// Folder.
        path: PathBuf,
    },
    /// An earlier operation failed; the content of the disk is undefined from then on.
    #[error("storage stopped after a failed write")]
    #[diagnostic(code(banyansill::storage::failed))]
    Failed,
}

impl StorageError {
    pub(crate) fn io<'a>(
        action: &'static str,
        path: &'a std::path::Path,
    ) -> impl FnOnce(std::io::Error) -> Self + 'a {
        move |source| Self::Io { action, path: path.to_owned(), source }
    }

    /// Returns whether an operation was refused for want of room, without a change of what is durable.
    ///
    /// A failed sync is not among these: the content of the file is undefined after it.
    pub(crate) fn is_full(&self) -> bool {
        use std::io::ErrorKind::{QuotaExceeded, StorageFull};
        matches!(self, Self::Io { action, source, .. }
            if *action != "sync" && matches!(source.kind(), StorageFull | QuotaExceeded))
    }
}
