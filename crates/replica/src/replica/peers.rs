//! Message streams to the other replicas.

use {
    banyansill_core::collections::FastMap,
    banyansill_core::names::SharedName,
    banyansill_wire::v1::{
        IdentifyReply, IdentifyRequest, ReplicaMessage, replica_client::ReplicaClient,
    },
    std::time::Duration,
    tokio::{
        sync::mpsc,
        task::JoinSet,
        time::{self, Instant},
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::{
        Status,
        transport::{Channel, Endpoint},
    },
};

/// Maximum number of messages queued for one peer; further ones are dropped, as on a lossy network.
const PEER_QUEUE_CAPACITY: usize = 256;

/// Maximum size of a message; the largest ones carry a snapshot of the whole state.
pub(super) const MAX_MESSAGE_BYTES: usize = 512 * 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Longest time for which a message waits for a connection that is being opened; regions are 20 ms apart, and a vote is
/// of no use after the election timeout.
const MESSAGE_LIFETIME: Duration = Duration::from_millis(150);

// An unresponsive connection is closed after at most 250 + 500 ms.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Message queues and streams of all peers, by address.
#[derive(Debug, Default)]
pub(super) struct PeerPool {
    senders: FastMap<SharedName, mpsc::Sender<ReplicaMessage>>,
    tasks: JoinSet<()>,
}

impl PeerPool {
    /// Connects to a peer before there is a message for it; the first one after a loss of all power is a vote.
    pub(super) fn open(&mut self, address: &SharedName) {
        self.sender(address);
    }

    /// Queues a message; it is dropped if the queue is full.
    pub(super) fn send(&mut self, address: &SharedName, message: ReplicaMessage) {
        let _ = self.sender(address).try_send(message);
    }

    fn sender(&mut self, address: &SharedName) -> &mpsc::Sender<ReplicaMessage> {
        self.senders.entry(address.clone()).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
            self.tasks.spawn(run_peer(address.clone(), queue));
            sender
        })
    }

    /// Ends the streams to all addresses for which `keep` returns `false`.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&SharedName) -> bool,
    {
        self.senders.retain(|address, _| keep(address));
    }
}

fn endpoint(address: &str) -> Result<Endpoint, tonic::transport::Error> {
    Ok(Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true))
}

async fn run_peer(address: SharedName, mut queue: mpsc::Receiver<ReplicaMessage>) {
    let endpoint = match endpoint(&address) {
        Ok(endpoint) => endpoint,
        Err(error) => {
            log::error!("invalid replica address {address}: {error}");
            return;
        }
    };
    while !queue.is_closed() {
        let begun = Instant::now();
        match endpoint.connect().await {
            Ok(channel) => {
                // Messages that waited longer for a connection are outdated.
                if begun.elapsed() >= MESSAGE_LIFETIME {
                    clear(&mut queue);
                }
                if let Err(status) = run_stream(channel, &mut queue).await {
                    log::debug!("stream to replica {address} failed: {status}");
                }
            }
            Err(error) => log::debug!("cannot connect to replica {address}: {error}"),
        }
        time::sleep(RECONNECT_DELAY).await;
        clear(&mut queue);
    }
}

fn clear(queue: &mut mpsc::Receiver<ReplicaMessage>) {
    while queue.try_recv().is_ok() {}
}

/// Sends queued messages until the stream breaks or the queue is closed.
async fn run_stream(
    channel: Channel,
    queue: &mut mpsc::Receiver<ReplicaMessage>,
) -> Result<(), Status> {
    let mut client = ReplicaClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
    let (sender, receiver) = mpsc::channel(1);
    let stream = client.deliver(ReceiverStream::new(receiver));
    let forward = async {
        while let Some(message) = queue.recv().await {
            if sender.send(message).await.is_err() {
                break;
            }
        }
    };
    tokio::select! {
        result = stream => result.map(|_| ()),
        () = forward => Ok(()),
    }
}

/// Requests the identity of the replica at an address.
pub(super) async fn identify(address: &str) -> Result<IdentifyReply, Status> {
    let endpoint = endpoint(address)
        .map_err(|error| Status::invalid_argument(error.to_string()))?
        .timeout(IDENTIFY_TIMEOUT);
    let channel =
        endpoint.connect().await.map_err(|error| Status::unavailable(error.to_string()))?;
    let reply = ReplicaClient::new(channel).identify(IdentifyRequest {}).await?;
    Ok(reply.into_inner())
}
