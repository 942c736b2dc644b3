//! Grants at brokers on other hosts, over one kept channel per host.

use {
    super::{
        convert::{input_to_wire, output_from_wire, request_to_wire},
        target::failure,
    },
    crate::link::{GrantPeer, GrantRequest, LinkInput, LinkOutput},
    banyansill_core::{
        collections::FastMap, failure::FailureKind, names::SharedName, position::LogPosition,
        time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::v1::{self, broker_client::BrokerClient, broker_input::Input},
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::timeout,
    },
    tokio_stream::Stream,
    tonic::{
        Request, Streaming,
        transport::{Channel, Endpoint},
    },
};

/// Time for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence after which the peer is asked for a sign of life.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for that sign; together with the interval a silent path is noticed within 1.5 s.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the first answer of a call, after which a fresh connection is tried.
const FIRST_ANSWER: Duration = Duration::from_millis(600);

/// A peer that was heard from within this time gets data before it has answered the open request.
const RECENTLY: Micros = Micros::from_millis(400);

/// Flow control window of a channel; one large answer must not stop the others.
const CHANNEL_WINDOW: u32 = 4 << 20;

/// Flow control window of one grant.
const STREAM_WINDOW: u32 = 256 << 10;

#[derive(Debug)]
struct PeerChannel {
    client: BrokerClient<Channel>,
    heard: AtomicU64,
    generation: u64,
}

/// Channels to brokers on other hosts.
#[derive(Debug)]
pub(super) struct PeerPool {
    clock: MonotonicClock,
    channels: Arc<Mutex<FastMap<SharedName, Arc<PeerChannel>>>>,
}

impl Clone for PeerPool {
    fn clone(&self) -> Self {
        Self { clock: self.clock, channels: Arc::clone(&self.channels) }
    }
}

impl PeerPool {
    pub(super) fn new(clock: MonotonicClock) -> Self {
        Self { clock, channels: Arc::default() }
    }

    /// Returns the kept channel, or a fresh one if `stale` is the generation of the kept one.
    fn channel(&self, address: &SharedName, stale: Option<u64>) -> Option<Arc<PeerChannel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = channels.get(address);
        let generation = match (kept, stale) {
            (Some(kept), Some(stale)) if kept.generation == stale => stale + 1,
            (Some(kept), _) => return Some(Arc::clone(kept)),
            (None, _) => 0,
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_connection_window_size(CHANNEL_WINDOW)
            .initial_stream_window_size(STREAM_WINDOW);
        let client = BrokerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(super::frame::MESSAGE_LIMIT + 1_024)
            .max_encoding_message_size(super::frame::MESSAGE_LIMIT + 1_024);
        let channel = Arc::new(PeerChannel { client, heard: AtomicU64::new(0), generation });
        channels.insert(address.clone(), Arc::clone(&channel));
        Some(channel)
    }

    fn heard(&self, channel: &PeerChannel) {
        channel.heard.store(self.clock.now().0, Ordering::Relaxed);
    }

    fn heard_recently(&self, channel: &PeerChannel) -> bool {
        let heard = channel.heard.load(Ordering::Relaxed);
        heard > 0 && self.clock.now().since(Micros(heard)) < RECENTLY
    }

    /// Serves a grant at the broker on another host.
    pub(super) fn run(&self, address: SharedName, peer: GrantPeer) {
        let pool = self.clone();
        tokio::spawn(async move {
            let grant = RemoteGrant::new(pool, address, peer);
            grant.run().await;
        });
    }

    /// Asks the broker of a database's primary for its high-water mark.
    ///
    /// # Errors
    ///
    /// Returns the broker's failure, or `Unreachable` if it does not answer on a fresh connection.
    pub(super) async fn high_water_mark(
        &self,
        address: &SharedName,
        database: &SharedName,
    ) -> Result<LogPosition, FailureKind> {
        let mut stale = None;
        for _ in 0..2 {
            let channel = self.channel(address, stale).ok_or(FailureKind::Unreachable)?;
            let request = v1::MarkRequest { database: database.to_string() };
            let mut client = channel.client.clone();
            if let Ok(Ok(reply)) = timeout(FIRST_ANSWER, client.high_water_mark(request)).await {
                self.heard(&channel);
                let reply = reply.into_inner();
                return match reply.mark {
                    Some(mark) if reply.failure.is_empty() => Ok(mark.into()),
                    _ => {
                        Err(FailureKind::from_name(&reply.failure)
                            .unwrap_or(FailureKind::NoPrimary))
                    }
                };
            }
            stale = Some(channel.generation);
        }
        Err(FailureKind::Unreachable)
    }

    /// Asks the broker of a replica whether it reaches a position within `span`.
    pub(super) async fn await_position(
        &self,
        address: &SharedName,
        database: &SharedName,
        server: &SharedName,
        position: LogPosition,
        span: Micros,
    ) -> bool {
        let Some(channel) = self.channel(address, None) else { return false };
        // Short questions, so that a silent path is replaced while time is left.
        let wait = span.as_duration().min(FIRST_ANSWER / 2);
        let request = v1::PositionRequest {
            database: database.to_string(),
            server: server.to_string(),
            position: Some(position.into()),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut client = channel.client.clone();
        match timeout(FIRST_ANSWER, client.await_position(request)).await {
            Ok(Ok(reply)) => {
                self.heard(&channel);
                reply.into_inner().reached
            }
            Ok(Err(_)) | Err(_) => {
                let _ = self.channel(address, Some(channel.generation));
                false
            }
        }
    }
}

/// One grant at another host.
struct RemoteGrant {
    pool: PeerPool,
    address: SharedName,
    request: GrantRequest,
    output: mpsc::Sender<LinkOutput>,
    source: Option<mpsc::Receiver<LinkInput>>,
    /// Data has been handed to the transport.
    sent: Arc<AtomicBool>,
}

/// Part of the input that was not handed to the transport, shared with the outgoing stream.
type SharedInput = Arc<tokio::sync::Mutex<mpsc::Receiver<LinkInput>>>;

impl RemoteGrant {
    fn new(pool: PeerPool, address: SharedName, peer: GrantPeer) -> Self {
        Self {
            pool,
            address,
            request: peer.request,
            output: peer.output,
            source: Some(peer.input),
            sent: Arc::default(),
        }
    }

    async fn run(mut self) {
        let Some(source) = self.source.take() else { return };
        let input: SharedInput = Arc::new(tokio::sync::Mutex::new(source));
        let end = match self.open(&input).await {
            Ok((channel, stream)) => self.forward(&channel, stream).await,
            Err(end) => Some(end),
        };
        if let Some(end) = end {
            let _ = self.output.send(end).await;
        }
    }

    async fn open(
        &self,
        input: &SharedInput,
    ) -> Result<(Arc<PeerChannel>, Streaming<v1::BrokerOutput>), LinkOutput> {
        let mut stale = None;
        for attempt in 0..2 {
            let channel = self
                .pool
                .channel(&self.address, stale)
                .ok_or_else(|| self.verdict("bad address of the broker"))?;
            let recent = attempt == 0 && self.pool.heard_recently(&channel);
            let (answered, answer) = watch::channel(recent);
            let sent = Arc::clone(&self.sent);
            let outgoing = outgoing(&self.request, Arc::clone(input), answer, sent);
            let mut client = channel.client.clone();
            let call = client.run(Request::new(outgoing));
            tokio::select! {
                result = timeout(FIRST_ANSWER, call) => {
                    if let Ok(Ok(response)) = result {
                        self.pool.heard(&channel);
                        let _ = answered.send(true);
                        return Ok((channel, response.into_inner()));
                    }
                }
                () = self.output.closed() => return Err(self.verdict("the session has gone")),
            }
            if self.sent.load(Ordering::Acquire) {
                break;
            }
            stale = Some(channel.generation);
        }
        Err(self.verdict("the broker does not answer"))
    }

    async fn forward(
        &self,
        channel: &PeerChannel,
        mut stream: Streaming<v1::BrokerOutput>,
    ) -> Option<LinkOutput> {
        loop {
            let message = tokio::select! {
                message = stream.message() => message,
                () = self.output.closed() => return None,
            };
            self.pool.heard(channel);
            let output = match message {
                Ok(Some(output)) => output_from_wire(output),
                Ok(None) | Err(_) => return Some(self.verdict("the broker's stream ended")),
            };
            let Some(output) = output else { continue };
            let last = matches!(output, LinkOutput::Refused(_) | LinkOutput::Lost(_));
            if self.output.send(output).await.is_err() || last {
                return None;
            }
        }
    }

    // What was never handed to the transport was certainly not run.
    fn verdict(&self, detail: &str) -> LinkOutput {
        if self.sent.load(Ordering::Acquire) {
            LinkOutput::Lost(failure(FailureKind::ConnectionLost, detail))
        } else {
            LinkOutput::Refused(failure(FailureKind::Unreachable, detail))
        }
    }
}

// Sends the open request at once and the session's input as soon as the peer has shown that the
// path works: until then a failure leaves no doubt that nothing was run.
fn outgoing(
    request: &GrantRequest,
    input: SharedInput,
    mut answered: watch::Receiver<bool>,
    sent: Arc<AtomicBool>,
) -> impl Stream<Item = v1::BrokerInput> + Send + 'static {
    let open = v1::BrokerInput { input: Some(Input::Open(request_to_wire(request))) };
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(async move {
        if sender.send(open).await.is_err() {
            return;
        }
        tokio::select! {
            answer = answered.wait_for(|answered| *answered) => {
                if answer.is_err() {
                    return;
                }
            }
            () = sender.closed() => return,
        }
        let mut input = input.lock().await;
        loop {
            let message = tokio::select! {
                biased;
                () = sender.closed() => return,
                message = input.recv() => message,
            };
            let Some(message) = message else { return };
            if matches!(message, LinkInput::Data(_)) {
                sent.store(true, Ordering::Release);
            }
            if sender.send(input_to_wire(message)).await.is_err() {
                return;
            }
        }
    });
    tokio_stream::wrappers::ReceiverStream::new(receiver)
}
