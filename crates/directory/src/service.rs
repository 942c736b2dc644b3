//! tonic service of a directory replica.

use {
    crate::{
        confirm::ProbeBoard,
        follow::{FOLLOWER_QUEUE_CAPACITY, FollowStream},
        join::PendingJoins,
        node::{DirectoryError, DirectoryNode},
        reachability::EntryReports,
    },
    banyansill_core::{
        compression::compress,
        consensus::{ReplicaIdentity, WaitingReplica},
        directory::DirectoryState,
        team_limit::UsageReport,
    },
    banyansill_replica::{
        command_log::{CommandLog, LogError},
        replica::ReplicaHandle,
    },
    banyansill_wire::directory_v1::{self as v1, directory_server::Directory},
    bytes::Bytes,
    tokio::sync::{mpsc, watch},
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status, Streaming},
};

/// State of the tonic service; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct DirectoryService {
    pub(crate) node: DirectoryNode<ReplicaHandle<DirectoryState>>,
    /// Reports of the entries that follow this replica.
    pub(crate) followers: EntryReports,
    /// Probes and usage of the entries that follow this replica.
    pub(crate) probes: ProbeBoard,
    /// Reports of all entries; complete only while this replica leads.
    pub(crate) reports: EntryReports,
    pub(crate) pending_joins: PendingJoins,
    pub(crate) stopping: watch::Receiver<bool>,
}

fn unavailable(error: LogError) -> Status {
    Status::unavailable(error.to_string())
}

#[tonic::async_trait]
impl Directory for DirectoryService {
    type FollowStream = ReceiverStream<Result<v1::FollowReply, Status>>;

    async fn submit(
        &self,
        request: Request<v1::SubmitRequest>,
    ) -> Result<Response<v1::SubmitReply>, Status> {
        let command = request.into_inner().command.to_vec();
        let reply = self.node.propose_here(command).await.map_err(unavailable)?;
        Ok(Response::new(v1::SubmitReply { reply: Bytes::from(reply.encode()) }))
    }

    async fn read(
        &self,
        _request: Request<v1::ReadRequest>,
    ) -> Result<Response<v1::ReadReply>, Status> {
        let (version, document) = self.node.read_here().await.map_err(unavailable)?;
        let document = Bytes::from(compress(document.as_bytes()));
        Ok(Response::new(v1::ReadReply { version, document }))
    }

    async fn follow(
        &self,
        request: Request<Streaming<v1::FollowRequest>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        // A replica that started with an empty disk has no directory content until it has joined.
        if self.node.log.members().await.map_err(unavailable)?.is_empty() {
            return Err(Status::failed_precondition("the replica is not a member yet"));
        }
        let (replies, receiver) = mpsc::channel(FOLLOWER_QUEUE_CAPACITY);
        let stream = FollowStream {
            node: self.node.clone(),
            followers: self.followers.clone(),
            probes: self.probes.clone(),
            replies,
            stopping: self.stopping.clone(),
        };
        tokio::spawn(stream.run(request.into_inner()));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn report_reach(
        &self,
        request: Request<v1::ReachRequest>,
    ) -> Result<Response<v1::ReachReply>, Status> {
        let now = self.node.clock.now();
        for report in request.into_inner().entries {
            self.reports.record(report, now);
        }
        Ok(Response::new(v1::ReachReply {}))
    }

    async fn confirm(
        &self,
        request: Request<v1::ConfirmRequest>,
    ) -> Result<Response<v1::ConfirmReply>, Status> {
        let report = UsageReport::from(request.into_inner());
        let confirmed = self.node.confirm_here(&report).await.map_err(unavailable)?;
        let paces = confirmed.paces.into_iter().map(v1::TeamPace::from).collect();
        Ok(Response::new(v1::ConfirmReply { version: confirmed.version, paces }))
    }

    async fn join(
        &self,
        request: Request<v1::JoinRequest>,
    ) -> Result<Response<v1::JoinReply>, Status> {
        let request = request.into_inner();
        let status = self.node.log.status().borrow().clone();
        if !status.leading {
            let Some(leader) = status.leader else {
                return Err(Status::unavailable("no leader is known"));
            };
            let reply = self.node.leader.join(&leader, request).await;
            return reply
                .map(Response::new)
                .map_err(|error: DirectoryError| Status::unavailable(error.to_string()));
        }
        let identity = ReplicaIdentity(request.identity);
        let mut reply = v1::JoinReply::default();
        for member in self.node.log.members().await.map_err(unavailable)? {
            reply.member |= member.record.identity == identity && member.record.voter;
            reply.members.push(member.record.address.to_string());
        }
        if !reply.member {
            let waiting = WaitingReplica {
                host: request.host.into(),
                address: request.address.into(),
                identity,
            };
            self.pending_joins.record(waiting, self.node.clock.now());
        }
        Ok(Response::new(reply))
    }
}
