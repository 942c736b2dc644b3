//! Records of entries, targets, database groups and sheets in the cluster state.

use {
    crate::{names::SharedName, position::LogPosition},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Properties that an entry reports when it joins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Host name.
    pub host: SharedName,
    /// IP address and port of the tonic listener.
    pub address: SharedName,
    /// IP address and port of the PostgreSQL listener.
    pub caller_address: SharedName,
    /// IP address and port where targets announce themselves to their broker; empty if the entry
    /// accepts no announcements.
    #[serde(default)]
    pub announce_address: SharedName,
    /// Region of the host.
    pub region: SharedName,
    /// Availability zone of the host.
    pub zone: SharedName,
    /// Orders processes with the same host name: the newest has the greatest value.
    pub incarnation: u64,
    /// Whether the entry is stopping.
    pub draining: bool,
}

/// State of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Properties that the entry reported.
    pub info: EntryInfo,
    /// Whether the entry may hold a node lease.
    pub live: bool,
    /// Whether an operator has drained the entry.
    pub drained: bool,
    /// Version at which the process joined; it gets a lease only after it has applied this version.
    pub joined_version: u64,
    /// Version of the record's last change.
    pub version: u64,
}

impl EntryRecord {
    /// Returns whether the entry may be assigned as broker.
    #[must_use]
    pub const fn is_eligible(&self) -> bool {
        self.live && !self.drained && !self.info.draining
    }
}

/// Identifies one process of an entry, by host name and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BrokerRef {
    /// Host name.
    pub host: SharedName,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// The recorded part of what a target announces about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// IP address and port of the PostgreSQL listener.
    pub address: SharedName,
    /// IP address and port that replicas of the group replicate from.
    pub replication_address: SharedName,
    /// Region of the target.
    pub region: SharedName,
    /// Availability zone of the target.
    pub zone: SharedName,
    /// Maximum number of statements that execute concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target has announced that it is leaving and takes no new work.
    pub leaving: bool,
    /// Orders processes with the same server name or address: the newest has the greatest value.
    pub incarnation: u64,
}

/// State of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Properties that the target announced.
    pub info: TargetInfo,
    /// Whether control receives announcements from the target or reports from its broker.
    pub live: bool,
    /// Whether an operator has drained the target.
    pub drained: bool,
    /// Entry process that is the broker; `None` while none is assigned.
    pub broker: Option<BrokerRef>,
    /// Entry process whose broker assignment was revoked and that may still hold connections.
    pub releasing: Option<BrokerRef>,
    /// Epoch of the broker assignment, incremented by each assignment and revocation; 0 before the
    /// first.
    pub epoch: u64,
    /// Version of the latest assignment or revocation.
    pub assigned_version: u64,
    /// Version of the last change of `info`, `live` or `drained`.
    pub version: u64,
    /// Incarnation that started without log entries that the server had confirmed before; `None` once
    /// it has caught up.
    #[serde(default)]
    pub rejoining: Option<u64>,
}

impl TargetRecord {
    /// Returns whether the target gets no new work.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.drained || self.info.leaving
    }
}

/// A term and the position in the group's log where it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Number of the term.
    pub term: u64,
    /// Last position of earlier terms that the term's history contains.
    pub start: LogPosition,
}

/// Server that is to be promoted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Server name.
    pub server: SharedName,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Position of the server when it was chosen.
    pub position: LogPosition,
}

/// State of a database group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseRecord {
    /// Current term; 0 before a primary is adopted.
    pub term: u64,
    /// Server name of the primary; `None` before one is adopted.
    pub primary: Option<SharedName>,
    /// Incarnation of the primary at the start of its term.
    pub primary_incarnation: u64,
    /// Whether the term is closed, so that its commits are not acknowledged any more.
    pub closed: bool,
    /// Whether the term was closed for a planned change while the primary still served.
    pub planned: bool,
    /// Version at which the last closed term was closed.
    pub closed_version: u64,
    /// Server that is to be promoted; `None` unless the term is closed.
    pub candidate: Option<CandidateRecord>,
    /// Highest term that a candidate was given so far; the next candidate gets a higher one.
    pub candidate_term: u64,
    /// The latest terms, in ascending order.
    pub history: Vec<TermRecord>,
    /// Targets by server name.
    pub targets: BTreeMap<SharedName, TargetRecord>,
}

/// An accepted sheet, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Number that the operator gave the sheet; greater than that of all earlier sheets.
    pub number: u64,
    /// Digest of the content, see `sheet_digest`.
    pub digest: String,
    /// Operator who applied it.
    pub operator: String,
    /// Idempotency key of the request that was accepted; may be empty.
    pub request_id: String,
    /// Version of the cluster state at which the sheet was accepted.
    pub version: u64,
}
