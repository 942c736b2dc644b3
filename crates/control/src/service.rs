//! The tonic `Control` service.

use {
    crate::{
        command_log::{CommandLog, LogError},
        forward::LeaderClient,
        members::MemberControl,
        node::{ControlNode, NodeError, SheetOutcome},
        watch,
    },
    banyansill_core::cluster::{ClusterRejection, ClusterState},
    banyansill_runtime::tokens::{AccessPolicy, OperatorAccess},
    banyansill_wire::v1::{self, control_server::Control},
    tokio::sync::{mpsc, watch::Receiver},
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Code, Request, Response, Status, metadata::MetadataValue},
};

/// Metadata key of the leader's tonic address in the refusal of a replica that does not lead.
pub const LEADER_KEY: &str = "banyansill-leader";

/// The tonic service of one control replica.
#[derive(Clone, Debug)]
pub struct ControlService<L, M> {
    node: ControlNode<L, M>,
    client: LeaderClient,
    access: AccessPolicy,
    stopping: Receiver<bool>,
}

impl<L, M> ControlService<L, M> {
    /// Creates the service of a node; its streams end when `stopping` becomes true.
    #[must_use]
    pub const fn new(
        node: ControlNode<L, M>,
        client: LeaderClient,
        access: AccessPolicy,
        stopping: Receiver<bool>,
    ) -> Self {
        Self { node, client, access, stopping }
    }

    /// Returns the operator who sent a request; an unnamed one with all rights without a token file.
    ///
    /// # Errors
    ///
    /// Returns a status if the settings name a token file and the request carries no valid token.
    fn operator<T>(&self, request: &Request<T>) -> Result<OperatorAccess, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        self.access
            .operator_or_open(header)
            .ok_or_else(|| Status::unauthenticated("a valid bearer token is required"))
    }
}

impl From<NodeError> for Status {
    fn from(error: NodeError) -> Self {
        let text = error.to_string();
        match error {
            NodeError::Invalid(_) => Self::invalid_argument(text),
            NodeError::Busy(_) => Self::aborted(text),
            NodeError::Rejected(
                ClusterRejection::Forbidden { .. } | ClusterRejection::OutOfScope { .. },
            ) => Self::permission_denied(text),
            NodeError::Rejected(_) => Self::failed_precondition(text),
            NodeError::Log(LogError::NotLeader { leader }) => {
                let mut status = Self::unavailable(text);
                let value = leader.and_then(|leader| MetadataValue::try_from(leader).ok());
                if let Some(value) = value {
                    status.metadata_mut().insert(LEADER_KEY, value);
                }
                status
            }
            NodeError::Log(LogError::OutcomeUnknown) => Self::new(Code::Unknown, text),
            NodeError::Log(LogError::NoMajority | LogError::Stopped(_)) => Self::unavailable(text),
        }
    }
}

#[tonic::async_trait]
impl<L, M> Control for ControlService<L, M>
where
    L: CommandLog<Machine = ClusterState>,
    M: MemberControl,
{
    type WatchStream = ReceiverStream<Result<v1::WatchReply, Status>>;

    async fn heartbeat(
        &self,
        request: Request<v1::HeartbeatRequest>,
    ) -> Result<Response<v1::HeartbeatReply>, Status> {
        Ok(Response::new(self.node.heartbeat(request.into_inner()).await))
    }

    async fn watch(
        &self,
        request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (sender, receiver) = mpsc::channel(watch::WATCH_QUEUE_CAPACITY);
        let since = request.into_inner().since_version;
        let (log, stopping) = (self.node.log.clone(), self.stopping.clone());
        let events = self.node.events.clone();
        tokio::spawn(watch::run(log, events, since, sender, stopping));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn announce(
        &self,
        request: Request<v1::AnnounceRequest>,
    ) -> Result<Response<v1::AnnounceReply>, Status> {
        let request = request.into_inner();
        if request.forwarded {
            self.node.announce_all(&request.more).await?;
            return Ok(Response::new(v1::AnnounceReply::default()));
        }
        let Some(announcement) = request.announcement else {
            return Err(Status::invalid_argument("the announcement is missing"));
        };
        let reply = self.client.announce(&self.node, announcement).await?;
        Ok(Response::new(reply))
    }

    async fn apply_sheet(
        &self,
        request: Request<v1::ApplySheetRequest>,
    ) -> Result<Response<v1::ApplySheetReply>, Status> {
        let access = self.operator(&request)?;
        let mut request = request.into_inner();
        if !access.operator.is_empty() {
            request.operator = access.operator;
        }
        let mut reply = v1::ApplySheetReply::default();
        match self.node.apply_sheet(request, &access.scope).await? {
            SheetOutcome::OutOfScope { detail, .. } => {
                return Err(Status::permission_denied(detail));
            }
            SheetOutcome::Accepted(version) => {
                reply.accepted = true;
                reply.version = version;
            }
            SheetOutcome::Conflict(detail) => reply.conflict = detail,
            SheetOutcome::Faults(faults) => {
                for fault in faults {
                    reply.faults.push(v1::SheetFault {
                        row: fault.row,
                        column: fault.column,
                        message: fault.message,
                    });
                }
            }
        }
        Ok(Response::new(reply))
    }

    async fn sheet_history(
        &self,
        request: Request<v1::SheetHistoryRequest>,
    ) -> Result<Response<v1::SheetHistoryReply>, Status> {
        self.operator(&request)?;
        let records = self.node.sheet_history().await?;
        Ok(Response::new(v1::SheetHistoryReply { records }))
    }

    async fn drain(
        &self,
        request: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::DrainReply>, Status> {
        let access = self.operator(&request)?;
        let changed = self.node.drain(request.into_inner(), &access.scope).await?;
        let detail = if changed { "changed" } else { "unchanged" };
        Ok(Response::new(v1::DrainReply { changed, detail: detail.to_owned() }))
    }

    async fn status(
        &self,
        request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        let access = self.operator(&request)?;
        Ok(Response::new(self.node.status(request.into_inner(), &access.scope).await?))
    }

    async fn change_member(
        &self,
        request: Request<v1::MemberRequest>,
    ) -> Result<Response<v1::MemberReply>, Status> {
        let access = self.operator(&request)?;
        let request = request.into_inner();
        let (host, address) = (request.host.as_str().into(), request.address);
        let detail = self.node.change_member(host, address, request.add, &access.scope).await?;
        Ok(Response::new(v1::MemberReply { done: true, detail }))
    }
}
