//! Routes: the targets of each database group, their brokers and the choice of the target that
//! serves a request.

mod choice;
mod primary_fallback;

pub use {
    choice::{ChoiceQuery, FailedTry, choose_target, route_wait},
    primary_fallback::{PrimaryFallback, replica_retry_delay},
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
    /// Accepts writes in the current term.
    Primary,
    /// Replicates from a primary and serves reads.
    Replica,
}

/// A target and its assigned broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// Server name, unique in its database group.
    pub server: SharedName,
    /// IP address and port of the PostgreSQL listener.
    pub address: SharedName,
    /// IP address and port from which replicas of the group replicate.
    pub replication_address: SharedName,
    /// Region of the target.
    pub region: SharedName,
    /// Availability zone of the target.
    pub zone: SharedName,
    /// Role that control has decided on, which may differ from what the target reports.
    pub role: TargetRole,
    /// Host name of the entry that is the broker; empty while none is assigned.
    pub broker: SharedName,
    /// IP address and port of the broker's tonic listener.
    pub broker_address: SharedName,
    /// Epoch of the broker assignment.
    pub epoch: u64,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Whether control receives reports from the target or its broker.
    pub live: bool,
    /// Whether the target is leaving or drained; it gets no new work.
    pub draining: bool,
}

/// Log position at which a term of a group begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermStart {
    /// Term that begins.
    pub term: LogTerm,
    /// Last position of earlier terms that belongs to the term's history.
    pub start: LogPosition,
}

/// Targets, primary and term history of one database group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatabaseRoute {
    /// Current term.
    pub term: LogTerm,
    /// Server name of the current primary, if there is one.
    pub primary: Option<SharedName>,
    /// Whether the term is closed for acknowledgements.
    pub closed: bool,
    /// Whether the term was closed by a planned stop, so that it may still finish and acknowledge
    /// its running writes.
    pub planned: bool,
    /// Server that control has instructed to promote for the next term, if any.
    pub candidate: Option<SharedName>,
    /// Term to which the candidate is to promote.
    pub candidate_term: LogTerm,
    /// Terms in ascending order.
    pub history: Vec<TermStart>,
    /// Targets, sorted by server name.
    pub targets: Vec<TargetRoute>,
}

/// Immutable snapshot of all routes and of the active sheet.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the cluster state from which the snapshot was taken.
    pub version: u64,
    /// Database groups by name.
    pub databases: FastMap<SharedName, Arc<DatabaseRoute>>,
    /// Number of the active sheet; 0 until a sheet is accepted.
    pub sheet_number: u64,
    /// Active sheet; `None` until a sheet is accepted.
    pub sheet: Option<Arc<RuleSheet>>,
}

impl DatabaseRoute {
    /// Returns the target with the given server name.
    #[must_use]
    pub fn target(&self, server: &str) -> Option<&TargetRoute> {
        self.targets.iter().find(|target| target.server.as_str() == server)
    }

    /// Returns the primary, or `None` if there is none or its term is closed.
    #[must_use]
    pub fn open_primary(&self) -> Option<&TargetRoute> {
        if self.closed {
            return None;
        }
        self.target(self.primary.as_ref()?)
    }
}
