//! Durable part of the replicated log: segment files, snapshots and the replica's identity.
//!
//! A data folder contains `identity`, at most one `snapshot-<index>` and the segments
//! `segment-<number>`. A segment is a run of records, each the unit of one sync: a record that was
//! only partly written when the process died is the last one of the last segment, and nothing in it
//! was ever acknowledged.

mod codec;
mod disk;
mod log_storage;
mod record;
mod replay;

pub use {
    codec::{entry_from_wire, entry_to_wire, members_from_wire, members_to_wire},
    disk::{DiskAccess, SystemDisk},
    log_storage::{LogStorage, RestoredReplica, StorageSettings},
};

use {miette::Diagnostic, std::path::PathBuf, thiserror::Error};

/// Data folder that cannot be read or written.
#[derive(Debug, Error, Diagnostic)]
pub enum StorageError {
    /// A file operation failed.
    #[error("cannot {action} {}: {source}", path.display())]
    #[diagnostic(code(banyansill::storage::io))]
    Io {
        /// What was attempted.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file has damaged content that a crash cannot explain.
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
    /// Another process uses the folder.
    #[error("{} is in use by another process", path.display())]
    #[diagnostic(code(banyansill::storage::locked))]
    Locked {
        /// Folder.
        path: PathBuf,
    },
    /// An earlier write or sync failed; the disk's content is unknown since then.
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
}
