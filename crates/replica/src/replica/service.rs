//! Tonic service that receives the messages of other replicas.

use {
    super::{
        peers::MAX_MESSAGE_BYTES,
        requests::{Delivered, ReplicaRequest},
    },
    banyansill_core::state_machine::StateMachine,
    banyansill_wire::v1::{
        DeliverReply, IdentifyReply, IdentifyRequest, ReplicaMessage,
        replica_server::{Replica, ReplicaServer},
    },
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
    tonic::{Request, Response, Status, Streaming, transport::Server},
};

// The server closes an unresponsive connection after at most 4 s; the client has replaced it long before.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a tonic server builder that closes unresponsive connections.
#[must_use]
pub fn server_builder() -> Server {
    Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
}

/// Receiving side of the protocol between replicas.
pub struct ReplicaService<M>
where
    M: StateMachine,
{
    pub(super) delivered: mpsc::Sender<Delivered>,
    pub(super) requests: mpsc::Sender<ReplicaRequest<M>>,
}

impl<M> ReplicaService<M>
where
    M: StateMachine,
{
    /// Returns the service for a tonic server.
    #[must_use]
    pub fn into_server(self) -> ReplicaServer<Self> {
        ReplicaServer::new(self).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl<M> Replica for ReplicaService<M>
where
    M: StateMachine,
{
    async fn deliver(
        &self,
        request: Request<Streaming<ReplicaMessage>>,
    ) -> Result<Response<DeliverReply>, Status> {
        let mut stream = request.into_inner();
        while let Some(message) = stream.message().await? {
            // Waiting while the queue is full slows the sender's stream, whose own bounded queue then
            // drops messages.
            if self.delivered.send(message).await.is_err() {
                return Err(Status::unavailable("replica stopped"));
            }
        }
        Ok(Response::new(DeliverReply {}))
    }

    async fn identify(
        &self,
        _request: Request<IdentifyRequest>,
    ) -> Result<Response<IdentifyReply>, Status> {
        let stopped = || Status::unavailable("replica stopped");
        let (reply, response) = oneshot::channel();
        let request = ReplicaRequest::Identify { reply };
        self.requests.send(request).await.map_err(|_| stopped())?;
        Ok(Response::new(response.await.map_err(|_| stopped())?))
    }
}
