//! Requests and messages to the task that owns the log machine.

use {
    super::members::{MemberError, MemberStatus},
    crate::command_log::LogError,
    banyansill_core::{
        consensus::{MemberChange, MemberSet},
        state_machine::StateMachine,
    },
    banyansill_wire::v1::{IdentifyReply, ReplicaMessage},
    bytes::Bytes,
    tokio::sync::oneshot,
};

pub(super) type ProposeReply<M> = Result<(u64, <M as StateMachine>::Response), LogError>;

/// Request from a handle or from the tonic service.
pub(super) enum ReplicaRequest<M>
where
    M: StateMachine,
{
    Propose { command: Bytes, reply: oneshot::Sender<ProposeReply<M>> },
    Confirm { reply: oneshot::Sender<Result<u64, LogError>> },
    Inspect(Box<dyn FnOnce(&M) + Send>),
    ChangeMember { change: MemberChange, reply: oneshot::Sender<Result<(), MemberError>> },
    Members { reply: oneshot::Sender<Vec<MemberStatus>> },
    Identify { reply: oneshot::Sender<IdentifyReply> },
    Bootstrap(MemberSet),
    Stop { reply: oneshot::Sender<()> },
}

/// Message delivered by another replica.
pub(super) type Delivered = ReplicaMessage;
