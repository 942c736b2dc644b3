//! Routes: which targets exist, who brokers them and which of them may serve a request.

mod choice;
mod stay;

pub use {
    choice::{ChoiceQuery, FailedTry, choose_target},
    stay::{PrimaryStay, replica_wait},
};

use {
    crate::{
        collections::FastMap,
        names::SharedName,
        position::{LogPosition, LogTerm},
        sheet::RuleSheet,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Role of a target in its database group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRole {
    /// Accepts writes under its term.
    Primary,
    /// Follows a primary and serves reads.
    Replica,
}

/// One target and its broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// Server name, unique in its database group.
    pub server: SharedName,
    /// IP address and port of the PostgreSQL listener.
    pub address: SharedName,
    /// IP address and port that replicas of the group follow.
    pub replication_address: SharedName,
    /// Region of the target.
    pub region: SharedName,
    /// Availability zone of the target.
    pub zone: SharedName,
    /// Role by control's decision, not by the target's own word.
    pub role: TargetRole,
    /// Host name of the entry that is the broker; empty while none is assigned.
    pub broker: SharedName,
    /// IP address and port of the broker's tonic listener.
    pub broker_address: SharedName,
    /// Epoch of the broker assignment.
    pub epoch: u64,
    /// Statements that may execute at a time.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Whether control hears from the target or its broker.
    pub live: bool,
    /// Leaving or drained; takes no new work.
    pub draining: bool,
}

/// Where a term begins in a group's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: LogTerm,
    /// Last position of earlier terms that the term's history contains.
    pub start: LogPosition,
}

/// One database group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatabaseRoute {
    /// Current term.
    pub term: LogTerm,
    /// Server name of the primary in force.
    pub primary: Option<SharedName>,
    /// Whether the term is closed for acknowledgements.
    pub closed: bool,
    /// Whether a closed term may still finish and acknowledge its running writes.
    pub planned: bool,
    /// Server that was told to promote for the next term.
    pub candidate: Option<SharedName>,
    /// Term that the candidate is told to promote to.
    pub candidate_term: LogTerm,
    /// Terms in ascending order.
    pub history: Vec<TermStart>,
    /// Targets in the order of their server names.
    pub targets: Vec<TargetRoute>,
}

/// Immutable snapshot of all routes and of the sheet in force.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the cluster state that the snapshot shows.
    pub version: u64,
    /// Database groups by name.
    pub databases: FastMap<SharedName, Arc<DatabaseRoute>>,
    /// Number of the sheet in force; 0 before one was accepted.
    pub sheet_number: u64,
    /// Sheet in force, if one was accepted.
    pub sheet: Option<Arc<RuleSheet>>,
}

impl DatabaseRoute {
    /// Returns the target with the given server name.
    #[must_use]
    pub fn target(&self, server: &str) -> Option<&TargetRoute> {
        self.targets.iter().find(|target| target.server.as_str() == server)
    }

    /// Returns the primary, if one is in force and its term is open.
    #[must_use]
    pub fn open_primary(&self) -> Option<&TargetRoute> {
        if self.closed {
            return None;
        }
        self.target(self.primary.as_ref()?)
    }
}
