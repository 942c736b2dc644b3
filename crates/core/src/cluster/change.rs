//! What a change of the cluster state affects.

use crate::{change, names::SharedName};

/// What a change affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangedItem {
    /// A database group.
    Database(SharedName),
    /// An entry.
    Entry(SharedName),
    /// The sheet in force.
    Sheet,
}

/// Items of the cluster state that changed since a version.
pub type ChangeSet = change::ChangeSet<ChangedItem>;
