//! Conversions between the peer messages of the core and those of the protocol.

use {
    crate::storage::{entry_from_wire, entry_to_wire, members_from_wire, members_to_wire},
    banyansill_core::consensus::{MessageBody, PeerMessage, ReplicaIdentity, SnapshotImage},
    banyansill_wire::v1::{self, replica_message::Body},
};

/// Converts a message to the protocol; `host` and `address` are those of the sender.
pub(super) fn message_to_wire(
    message: PeerMessage,
    host: &str,
    address: &str,
) -> v1::ReplicaMessage {
    let body = match message.body {
        MessageBody::VoteRequest { pre_vote, last_index, last_term } => {
            Body::VoteRequest(v1::VoteRequest { pre_vote, last_index, last_term })
        }
        MessageBody::VoteReply { pre_vote, granted } => {
            Body::VoteReply(v1::VoteReply { pre_vote, granted })
        }
        MessageBody::AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit_index,
            round,
        } => {
            let entries = entries.iter().map(entry_to_wire).collect();
            Body::AppendRequest(v1::AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit_index,
                round,
            })
        }
        MessageBody::AppendReply { success, match_index, conflict_index, round } => {
            Body::AppendReply(v1::AppendReply { success, match_index, conflict_index, round })
        }
        MessageBody::SnapshotRequest { image, round } => {
            Body::SnapshotRequest(v1::SnapshotRequest {
                last_index: image.index,
                last_term: image.term,
                data: image.data,
                round,
                members: Some(members_to_wire(&image.members)),
            })
        }
    };
    v1::ReplicaMessage {
        from: host.to_owned(),
        from_address: address.to_owned(),
        from_identity: message.from.0,
        to_identity: message.to.0,
        term: message.term,
        body: Some(body),
    }
}

/// Converts a message from the protocol; `None` if it has no known body.
pub(super) fn message_from_wire(message: v1::ReplicaMessage) -> Option<PeerMessage> {
    let body = match message.body? {
        Body::VoteRequest(request) => MessageBody::VoteRequest {
            pre_vote: request.pre_vote,
            last_index: request.last_index,
            last_term: request.last_term,
        },
        Body::VoteReply(reply) => {
            MessageBody::VoteReply { pre_vote: reply.pre_vote, granted: reply.granted }
        }
        Body::AppendRequest(request) => MessageBody::AppendRequest {
            previous_index: request.previous_index,
            previous_term: request.previous_term,
            entries: request.entries.into_iter().map(entry_from_wire).collect(),
            commit_index: request.commit_index,
            round: request.round,
        },
        Body::AppendReply(reply) => MessageBody::AppendReply {
            success: reply.success,
            match_index: reply.match_index,
            conflict_index: reply.conflict_index,
            round: reply.round,
        },
        Body::SnapshotRequest(request) => MessageBody::SnapshotRequest {
            image: SnapshotImage {
                index: request.last_index,
                term: request.last_term,
                members: members_from_wire(request.members.unwrap_or_default()),
                data: request.data,
            },
            round: request.round,
        },
    };
    Some(PeerMessage {
        from: ReplicaIdentity(message.from_identity),
        to: ReplicaIdentity(message.to_identity),
        term: message.term,
        body,
    })
}
