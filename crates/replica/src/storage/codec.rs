//! Payloads of the records in storage files, and conversions between entries and members and the protocol.

use {
    banyansill_core::{
        consensus::{
            EntryPayload, HardState, LogEntry, MemberRecord, MemberSet, ReplicaIdentity,
            SnapshotImage, StorageWrite,
        },
        names::SharedName,
    },
    banyansill_wire::v1,
    bytes::Bytes,
    prost::{Message, Oneof},
};

#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct IdentityRecord {
    #[prost(fixed64, tag = "1")]
    pub(super) identity: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(super) struct HardStateRecord {
    #[prost(uint64, tag = "1")]
    pub(super) term: u64,
    #[prost(fixed64, optional, tag = "2")]
    pub(super) vote: Option<u64>,
    #[prost(uint64, tag = "3")]
    pub(super) commit: u64,
}

/// First record of a segment: the state of the log where the segment starts.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct SegmentRecord {
    #[prost(message, optional, tag = "1")]
    pub(super) hard_state: Option<HardStateRecord>,
    #[prost(uint64, tag = "2")]
    pub(super) last_index: u64,
    #[prost(uint64, tag = "3")]
    pub(super) last_term: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct BatchRecord {
    #[prost(message, repeated, tag = "1")]
    pub(super) changes: Vec<ChangeRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ChangeRecord {
    #[prost(oneof = "LogChange", tags = "1, 2, 3, 4")]
    pub(super) change: Option<LogChange>,
}

#[derive(Clone, PartialEq, Oneof)]
pub(super) enum LogChange {
    #[prost(message, tag = "1")]
    HardState(HardStateRecord),
    #[prost(message, tag = "2")]
    Entry(v1::LogEntry),
    /// Removes all entries from an index on.
    #[prost(uint64, tag = "3")]
    Truncate(u64),
    /// Replaces the whole log by an empty one that starts after a snapshot.
    #[prost(message, tag = "4")]
    Restart(RestartRecord),
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(super) struct RestartRecord {
    #[prost(uint64, tag = "1")]
    pub(super) index: u64,
    #[prost(uint64, tag = "2")]
    pub(super) term: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct SnapshotRecord {
    #[prost(uint64, tag = "1")]
    pub(super) index: u64,
    #[prost(uint64, tag = "2")]
    pub(super) term: u64,
    #[prost(message, optional, tag = "3")]
    pub(super) members: Option<v1::ReplicaMembers>,
    #[prost(bytes = "bytes", tag = "4")]
    pub(super) data: Bytes,
}

impl From<HardState> for HardStateRecord {
    fn from(state: HardState) -> Self {
        Self { term: state.term, vote: state.vote.map(|vote| vote.0), commit: state.commit }
    }
}

impl From<HardStateRecord> for HardState {
    fn from(record: HardStateRecord) -> Self {
        let vote = record.vote.map(ReplicaIdentity);
        Self { term: record.term, vote, commit: record.commit }
    }
}

impl From<&SnapshotImage> for SnapshotRecord {
    fn from(image: &SnapshotImage) -> Self {
        Self {
            index: image.index,
            term: image.term,
            members: Some(members_to_wire(&image.members)),
            data: image.data.clone(),
        }
    }
}

impl From<SnapshotRecord> for SnapshotImage {
    fn from(record: SnapshotRecord) -> Self {
        let members = members_from_wire(record.members.unwrap_or_default());
        Self { index: record.index, term: record.term, members, data: record.data }
    }
}

/// Appends the changes that a write makes to the log; a compaction makes none and only removes files.
pub(super) fn push_changes(changes: &mut Vec<ChangeRecord>, write: &StorageWrite) {
    let mut push = |change| changes.push(ChangeRecord { change: Some(change) });
    match write {
        StorageWrite::HardState(state) => push(LogChange::HardState((*state).into())),
        StorageWrite::Append(entries) => {
            for entry in entries {
                push(LogChange::Entry(entry_to_wire(entry)));
            }
        }
        StorageWrite::Truncate { from } => push(LogChange::Truncate(*from)),
        StorageWrite::Install(image) => {
            push(LogChange::Restart(RestartRecord { index: image.index, term: image.term }));
        }
        StorageWrite::Compact { .. } => {}
    }
}

/// Converts an entry to the protocol.
#[must_use]
pub fn entry_to_wire(entry: &LogEntry) -> v1::LogEntry {
    let payload = match &entry.payload {
        EntryPayload::Empty => None,
        EntryPayload::Command(command) => Some(v1::log_entry::Payload::Command(command.clone())),
        EntryPayload::Members(members) => {
            Some(v1::log_entry::Payload::Members(members_to_wire(members)))
        }
    };
    v1::LogEntry { term: entry.term, index: entry.index, payload }
}

/// Converts an entry from the protocol.
#[must_use]
pub fn entry_from_wire(entry: v1::LogEntry) -> LogEntry {
    let payload = match entry.payload {
        None => EntryPayload::Empty,
        Some(v1::log_entry::Payload::Command(command)) => EntryPayload::Command(command),
        Some(v1::log_entry::Payload::Members(members)) => {
            EntryPayload::Members(members_from_wire(members))
        }
    };
    LogEntry { term: entry.term, index: entry.index, payload }
}

/// Converts members to the protocol.
#[must_use]
pub fn members_to_wire(members: &MemberSet) -> v1::ReplicaMembers {
    let mut records = Vec::new();
    for record in members.records() {
        records.push(v1::ReplicaMember {
            host: record.host.to_string(),
            address: record.address.to_string(),
            identity: record.identity.0,
            voter: record.voter,
        });
    }
    v1::ReplicaMembers { cluster: members.cluster(), members: records }
}

/// Converts members from the protocol.
#[must_use]
pub fn members_from_wire(members: v1::ReplicaMembers) -> MemberSet {
    let mut records = Vec::new();
    for member in members.members {
        records.push(MemberRecord {
            host: SharedName::from(member.host),
            address: SharedName::from(member.address),
            identity: ReplicaIdentity(member.identity),
            voter: member.voter,
        });
    }
    MemberSet::new(members.cluster, records)
}
