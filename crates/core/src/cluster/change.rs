//! Items of the cluster state that watchers are notified about.

use crate::{change, names::SharedName};

/// An item of the cluster state that a command changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangedItem {
    /// The database group of this name, including its targets.
    Database(SharedName),
    /// The entry of this host name.
    Entry(SharedName),
    /// The current sheet.
    Sheet,
}

/// Items of the cluster state that changed since a version.
pub type ChangeSet = change::ChangeSet<ChangedItem>;
