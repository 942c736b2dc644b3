//! Records of the cluster state.

use {
    crate::{names::SharedName, position::LogPosition},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What an entry says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Host name.
    pub host: SharedName,
    /// IP address and port of the tonic listener.
    pub address: SharedName,
    /// IP address and port of the PostgreSQL listener.
    pub caller_address: SharedName,
    /// IP address and port where targets announce themselves to their broker; empty if it takes none.
    #[serde(default)]
    pub announce_address: SharedName,
    /// Region of the host.
    pub region: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Orders processes with the same host name.
    pub incarnation: u64,
    /// Whether the entry is stopping.
    pub draining: bool,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The entry's own account of itself.
    pub info: EntryInfo,
    /// Whether the entry may hold a node lease.
    pub live: bool,
    /// Whether an operator drained the entry.
    pub drained: bool,
    /// Version at which the process joined; it gets a lease once it has applied this version.
    pub joined_version: u64,
    /// Version of the record's last change.
    pub version: u64,
}

impl EntryRecord {
    /// Returns whether the entry may be given brokerships.
    #[must_use]
    pub const fn is_eligible(&self) -> bool {
        self.live && !self.drained && !self.info.draining
    }
}

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BrokerRef {
    /// Host name.
    pub host: SharedName,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// What a target says about itself, as far as it is recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// IP address and port of the PostgreSQL listener.
    pub address: SharedName,
    /// IP address and port that replicas of the group follow.
    pub replication_address: SharedName,
    /// Region of the target.
    pub region: SharedName,
    /// Availability zone of the target.
    pub zone: SharedName,
    /// Statements that may execute at a time.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Orders processes with the same server name or address.
    pub incarnation: u64,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The target's own account of itself.
    pub info: TargetInfo,
    /// Whether control hears from the target or its broker.
    pub live: bool,
    /// Whether an operator drained the target.
    pub drained: bool,
    /// Entry process that is the broker.
    pub broker: Option<BrokerRef>,
    /// Entry process whose brokership was revoked and that may still hold connections.
    pub releasing: Option<BrokerRef>,
    /// Epoch of the latest assignment; 0 before the first.
    pub epoch: u64,
    /// Version of the latest assignment.
    pub assigned_version: u64,
    /// Version of the last change of `info`, `live` or `drained`.
    pub version: u64,
    /// Incarnation that began without what the server had confirmed before, until it has caught up.
    #[serde(default)]
    pub rejoining: Option<u64>,
}

impl TargetRecord {
    /// Returns whether the target takes no new work.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.drained || self.info.leaving
    }
}

/// Where a term begins in a group's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term.
    pub term: u64,
    /// Last position of earlier terms that the term's history contains.
    pub start: LogPosition,
}

/// Server that was told to promote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Server name.
    pub server: SharedName,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Position of the server when it was chosen.
    pub position: LogPosition,
}

/// One database group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseRecord {
    /// Term in force; 0 before a primary is adopted.
    pub term: u64,
    /// Server name of the primary.
    pub primary: Option<SharedName>,
    /// Incarnation of the primary when its term came into force.
    pub primary_incarnation: u64,
    /// Whether the term is closed for acknowledgements.
    pub closed: bool,
    /// Whether the term was closed while the primary still served.
    pub planned: bool,
    /// Version at which the term was closed.
    pub closed_version: u64,
    /// Server that was told to promote.
    pub candidate: Option<CandidateRecord>,
    /// Highest term that a candidate was given; a later candidate gets a higher one.
    pub candidate_term: u64,
    /// Terms in ascending order.
    pub history: Vec<TermRecord>,
    /// Targets by server name.
    pub targets: BTreeMap<SharedName, TargetRecord>,
}

/// One accepted sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Number of the sheet.
    pub number: u64,
    /// Digest of its content.
    pub digest: String,
    /// Operator who applied it.
    pub operator: String,
    /// Request that was accepted first.
    pub request_id: String,
    /// Version of the acceptance.
    pub version: u64,
}
