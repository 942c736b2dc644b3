//! Grants at brokers on other hosts, over pooled gRPC channels.

use {
    super::{
        connection::{EventLoop, current_event_loop},
        convert::{input_to_wire, output_from_wire, request_to_wire},
        refusal::failure,
    },
    crate::link::{GrantPeer, GrantRequest, LinkInput, LinkOutput},
    banyansill_core::{
        collections::FastMap, failure::FailureKind, names::SharedName, position::LogPosition,
        time::Micros,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::v1::{self, broker_client::BrokerClient, broker_input::Input},
    std::{
        future::Future,
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        runtime::{Handle, RuntimeFlavor},
        sync::{mpsc, oneshot},
        time::timeout,
    },
    tokio_stream::Stream,
    tonic::{
        Request, Streaming,
        transport::{Channel, Endpoint},
    },
};

/// Timeout for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the reply to a ping; with the interval, a silent path is detected within 1.5 s.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the first response to a call, after which a new connection is tried.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for the transport to drop the stream of a failed call, which returns its input.
const INPUT_RETURN_TIMEOUT: Duration = Duration::from_millis(100);

/// A peer that responded within this time is sent data before it has answered the open request.
const RECENT_RESPONSE_WINDOW: Micros = Micros::from_millis(400);

/// HTTP/2 flow-control window of a connection; larger than a stream's, so that one large response
/// does not block the others.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// HTTP/2 flow-control window of the stream of one grant.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Number of grants on a channel from which another channel to the same host is opened.
///
/// One connection is served by one task, which limits it to about ten thousand grants per second.
const GRANTS_PER_CHANNEL: u32 = 16;

/// Maximum number of channels to one host from the shared runtime.
const MAX_CHANNELS_PER_HOST: usize = 4;

// A single-threaded event loop is limited by its thread, so more connections do not help.
fn max_channels() -> usize {
    match Handle::current().runtime_flavor() {
        RuntimeFlavor::CurrentThread => 1,
        _ => MAX_CHANNELS_PER_HOST,
    }
}

#[derive(Debug)]
struct PeerChannel {
    client: BrokerClient<Channel>,
    /// Event loop that runs the connection.
    event_loop: EventLoop,
    /// Clock time of the last response in microseconds; zero if there was none.
    last_response: AtomicU64,
    grants: AtomicU32,
    /// A call failed or timed out; the channel is not used for new calls.
    stale: AtomicBool,
}

/// Counts one grant on its channel.
struct ChannelUse(Arc<PeerChannel>);

impl ChannelUse {
    fn new(channel: Arc<PeerChannel>) -> Self {
        channel.grants.fetch_add(1, Ordering::Relaxed);
        Self(channel)
    }
}

impl Drop for ChannelUse {
    fn drop(&mut self) {
        self.0.grants.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Channels to brokers on other hosts.
#[derive(Debug)]
pub(super) struct PeerPool {
    clock: MonotonicClock,
    channels: Arc<Mutex<FastMap<SharedName, Vec<Arc<PeerChannel>>>>>,
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

    /// Returns this event loop's channel with the fewest grants, or a new one if there is none or
    /// it carries too many grants.
    ///
    /// A channel of another loop would cost a wake-up of that loop's thread for each message, and
    /// would end with the thread.
    fn channel(&self, address: &SharedName) -> Option<Arc<PeerChannel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = channels.entry(address.clone()).or_default();
        kept.retain(|channel| !channel.stale.load(Ordering::Relaxed));
        let here = current_event_loop();
        let mut own_channels = 0;
        let mut best: Option<(&Arc<PeerChannel>, u32)> = None;
        for channel in kept.iter() {
            if channel.event_loop != here {
                continue;
            }
            own_channels += 1;
            let grants = channel.grants.load(Ordering::Relaxed);
            if best.is_none_or(|(_, least)| grants < least) {
                best = Some((channel, grants));
            }
        }
        if let Some((channel, grants)) = best
            && (grants < GRANTS_PER_CHANNEL || own_channels >= max_channels())
        {
            return Some(Arc::clone(channel));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_stream_window_size(STREAM_WINDOW_BYTES);
        let client = BrokerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(super::frame::MESSAGE_LIMIT + 1_024)
            .max_encoding_message_size(super::frame::MESSAGE_LIMIT + 1_024);
        let channel = Arc::new(PeerChannel {
            client,
            event_loop: here,
            last_response: AtomicU64::new(0),
            grants: AtomicU32::new(0),
            stale: AtomicBool::new(false),
        });
        kept.push(Arc::clone(&channel));
        Some(channel)
    }

    fn record_response(&self, channel: &PeerChannel) {
        channel.last_response.store(self.clock.now().0, Ordering::Relaxed);
    }

    fn responded_recently(&self, channel: &PeerChannel) -> bool {
        let last_response = channel.last_response.load(Ordering::Relaxed);
        last_response > 0 && self.clock.now().since(Micros(last_response)) < RECENT_RESPONSE_WINDOW
    }

    /// Serves a grant at the broker on another host.
    pub(super) fn run(&self, address: SharedName, peer: GrantPeer) {
        let pool = self.clone();
        tokio::spawn(async move {
            let GrantPeer { request, input, output } = peer;
            let grant = RemoteGrant { pool, address, request, output, sent: Arc::default() };
            grant.run(input).await;
        });
    }

    /// Requests the high-water mark from the broker of a database's primary.
    ///
    /// # Errors
    ///
    /// Returns the broker's failure, or `Unreachable` if it does not respond on a new connection.
    pub(super) async fn high_water_mark(
        &self,
        address: &SharedName,
        database: &SharedName,
    ) -> Result<LogPosition, FailureKind> {
        for _ in 0..2 {
            let channel = self.channel(address).ok_or(FailureKind::Unreachable)?;
            let request = v1::MarkRequest { database: database.to_string() };
            let mut client = channel.client.clone();
            if let Ok(Ok(reply)) =
                timeout(FIRST_RESPONSE_TIMEOUT, client.high_water_mark(request)).await
            {
                self.record_response(&channel);
                let reply = reply.into_inner();
                return match reply.mark {
                    Some(mark) if reply.failure.is_empty() => Ok(mark.into()),
                    _ => {
                        Err(FailureKind::from_name(&reply.failure)
                            .unwrap_or(FailureKind::NoPrimary))
                    }
                };
            }
            channel.stale.store(true, Ordering::Relaxed);
        }
        Err(FailureKind::Unreachable)
    }

    /// Queries the broker of a replica whether the replica reaches a position within `span`.
    pub(super) async fn await_position(
        &self,
        address: &SharedName,
        database: &SharedName,
        server: &SharedName,
        position: LogPosition,
        span: Micros,
    ) -> bool {
        let Some(channel) = self.channel(address) else { return false };
        // Each request waits only briefly, so that a silent path is replaced while time is left.
        let wait = span.as_duration().min(FIRST_RESPONSE_TIMEOUT / 2);
        let request = v1::PositionRequest {
            database: database.to_string(),
            server: server.to_string(),
            position: Some(position.into()),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut client = channel.client.clone();
        match timeout(FIRST_RESPONSE_TIMEOUT, client.await_position(request)).await {
            Ok(Ok(reply)) => {
                self.record_response(&channel);
                reply.into_inner().reached
            }
            Ok(Err(_)) | Err(_) => {
                channel.stale.store(true, Ordering::Relaxed);
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
    /// Whether data was handed to the transport.
    sent: Arc<AtomicBool>,
}

impl RemoteGrant {
    async fn run(self, input: mpsc::Receiver<LinkInput>) {
        let end = match self.open(input).await {
            Ok((channel, stream)) => self.forward(&channel.0, stream).await,
            Err(end) => Some(end),
        };
        if let Some(end) = end {
            let _ = self.output.send(end).await;
        }
    }

    // Retries once, on a new connection, if nothing but the open request was sent.
    async fn open(
        &self,
        mut input: mpsc::Receiver<LinkInput>,
    ) -> Result<(ChannelUse, Streaming<v1::BrokerOutput>), LinkOutput> {
        for attempt in 0..2 {
            let channel = self
                .pool
                .channel(&self.address)
                .ok_or_else(|| self.failure_output("invalid broker address"))?;
            let channel = ChannelUse::new(channel);
            let recent = attempt == 0 && self.pool.responded_recently(&channel.0);
            let (responded, first_response) = oneshot::channel();
            let (return_input, returned_input) = oneshot::channel();
            let outgoing = OutgoingStream {
                open: Some(request_to_wire(&self.request)),
                first_response: if recent { None } else { Some(first_response) },
                input: Some(input),
                return_input: Some(return_input),
                sent: Arc::clone(&self.sent),
            };
            let mut client = channel.0.client.clone();
            tokio::select! {
                result = timeout(FIRST_RESPONSE_TIMEOUT, client.run(Request::new(outgoing))) => {
                    if let Ok(Ok(response)) = result {
                        self.pool.record_response(&channel.0);
                        let _ = responded.send(());
                        return Ok((channel, response.into_inner()));
                    }
                }
                () = self.output.closed() =>
                    return Err(self.failure_output("the session closed the link")),
            }
            channel.0.stale.store(true, Ordering::Relaxed);
            drop(responded);
            input = match timeout(INPUT_RETURN_TIMEOUT, returned_input).await {
                Ok(Ok(input)) if !self.sent.load(Ordering::Acquire) => input,
                _ => break,
            };
        }
        Err(self.failure_output("the broker does not respond"))
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
            self.pool.record_response(channel);
            let output = match message {
                Ok(Some(output)) => output_from_wire(output),
                Ok(None) | Err(_) => return Some(self.failure_output("the broker's stream ended")),
            };
            let Some(output) = output else { continue };
            let last = matches!(output, LinkOutput::Refused(_) | LinkOutput::Lost(_));
            if self.output.send(output).await.is_err() || last {
                return None;
            }
        }
    }

    // If no data was handed to the transport, nothing was executed and the grant is refused.
    fn failure_output(&self, detail: &str) -> LinkOutput {
        if self.sent.load(Ordering::Acquire) {
            LinkOutput::Lost(failure(FailureKind::ConnectionLost, detail))
        } else {
            LinkOutput::Refused(failure(FailureKind::Unreachable, detail))
        }
    }
}

/// Request stream of a remote grant.
///
/// Sends the open request immediately, but the session's input only once a response has shown that
/// the path works: a failure before that proves that nothing was executed.
struct OutgoingStream {
    open: Option<v1::GrantRequest>,
    /// Completes with the peer's first response; `None` if the peer responded recently.
    first_response: Option<oneshot::Receiver<()>>,
    input: Option<mpsc::Receiver<LinkInput>>,
    /// Returns the input for another attempt when the transport drops the stream.
    return_input: Option<oneshot::Sender<mpsc::Receiver<LinkInput>>>,
    sent: Arc<AtomicBool>,
}

impl Stream for OutgoingStream {
    type Item = v1::BrokerInput;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(open) = self.open.take() {
            return Poll::Ready(Some(v1::BrokerInput { input: Some(Input::Open(open)) }));
        }
        if let Some(first_response) = self.first_response.as_mut() {
            match Pin::new(first_response).poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) => self.first_response = None,
                Poll::Ready(Err(_)) => return Poll::Ready(None),
            }
        }
        let Some(input) = self.input.as_mut() else { return Poll::Ready(None) };
        let Some(message) = ready!(input.poll_recv(context)) else { return Poll::Ready(None) };
        if matches!(message, LinkInput::Data(_)) {
            self.sent.store(true, Ordering::Release);
        }
        Poll::Ready(Some(input_to_wire(message)))
    }
}

impl Drop for OutgoingStream {
    fn drop(&mut self) {
        if let (Some(return_input), Some(input)) = (self.return_input.take(), self.input.take()) {
            let _ = return_input.send(input);
        }
    }
}
