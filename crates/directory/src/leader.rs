//! Client for requests that a replica forwards to the leader.

use {
    crate::node::DirectoryError,
    banyansill_core::{
        compression::{MAX_COMMAND_BYTES, decompress},
        directory::DirectoryReply,
    },
    banyansill_wire::directory_v1::{self as v1, directory_client::DirectoryClient},
    bytes::Bytes,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tonic::{
        Request, Status,
        transport::{Channel, Endpoint},
    },
};

/// Time to connect to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for one request to the leader; shorter than the `OPERATION_TIMEOUT` of the sender.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for one confirmation, far below the lease on keys. A request that ends by it drops the connection, which may have
/// gone silent; pings alone would not show that, since they stop between short requests.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(450);

/// Interval of HTTP/2 pings, which are to detect a broken network path before a request is lost on it.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response to a ping after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a message; the largest ones hold a set of routes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Client with a connection to the last address used, normally the current leader; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderClient {
    connection: Arc<Mutex<Option<(String, Channel)>>>,
}

impl LeaderClient {
    pub(crate) async fn submit(
        &self,
        leader: &str,
        command: Vec<u8>,
    ) -> Result<DirectoryReply, DirectoryError> {
        let request = v1::SubmitRequest { command: Bytes::from(command) };
        let mut client = self.client(leader)?;
        let reply =
            client.submit(request).await.map_err(|status| self.connection_failed(&status))?;
        Ok(DirectoryReply::decode(&reply.into_inner().reply)?)
    }

    pub(crate) async fn read(&self, leader: &str) -> Result<(u64, String), DirectoryError> {
        let mut client = self.client(leader)?;
        let reply = client
            .read(v1::ReadRequest {})
            .await
            .map_err(|status| self.connection_failed(&status))?;
        let reply = reply.into_inner();
        let document = decompress(&reply.document, MAX_COMMAND_BYTES)
            .and_then(|bytes| String::from_utf8(bytes).ok());
        let document = document.ok_or_else(|| {
            DirectoryError::Unavailable("the leader's document cannot be read".to_owned())
        })?;
        Ok((reply.version, document))
    }

    pub(crate) async fn report_reach(
        &self,
        leader: &str,
        request: v1::ReachRequest,
    ) -> Result<(), DirectoryError> {
        let mut client = self.client(leader)?;
        client.report_reach(request).await.map_err(|status| self.connection_failed(&status))?;
        Ok(())
    }

    pub(crate) async fn confirm(
        &self,
        leader: &str,
        request: v1::ConfirmRequest,
    ) -> Result<v1::ConfirmReply, DirectoryError> {
        let mut request = Request::new(request);
        request.set_timeout(CONFIRM_TIMEOUT);
        let mut client = self.client(leader)?;
        let reply =
            client.confirm(request).await.map_err(|status| self.connection_failed(&status))?;
        Ok(reply.into_inner())
    }

    pub(crate) async fn join(
        &self,
        address: &str,
        request: v1::JoinRequest,
    ) -> Result<v1::JoinReply, DirectoryError> {
        let mut client = self.client(address)?;
        let reply = client.join(request).await.map_err(|status| self.connection_failed(&status))?;
        Ok(reply.into_inner())
    }

    fn client(&self, leader: &str) -> Result<DirectoryClient<Channel>, DirectoryError> {
        let mut connection = self.connection.lock().unwrap_or_else(PoisonError::into_inner);
        let channel = match &*connection {
            Some((address, channel)) if address == leader => channel.clone(),
            _ => {
                let channel = connect(leader)
                    .map_err(|error| DirectoryError::Unavailable(error.to_string()))?;
                *connection = Some((leader.to_owned(), channel.clone()));
                channel
            }
        };
        Ok(DirectoryClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Drops the connection after a failed request, so that the next one opens a new one, and returns the error.
    fn connection_failed(&self, status: &Status) -> DirectoryError {
        *self.connection.lock().unwrap_or_else(PoisonError::into_inner) = None;
        DirectoryError::Unavailable(format!("leader: {status}"))
    }
}

fn connect(address: &str) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(REQUEST_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .tcp_nodelay(true);
    Ok(endpoint.connect_lazy())
}
