//! Grants at brokers on other hosts, over one kept channel per host.

use {
    super::{
        connection::{EventLoop, current_loop},
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

/// Time for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence after which the peer is asked for a sign of life.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for that sign; together with the interval a silent path is noticed within 1.5 s.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the first answer of a call, after which a fresh connection is tried.
const FIRST_ANSWER: Duration = Duration::from_millis(600);

/// Time for the transport to drop the stream of a failed call.
const GIVE_BACK: Duration = Duration::from_millis(100);

/// A peer that was heard from within this time gets data before it has answered the open request.
const RECENTLY: Micros = Micros::from_millis(400);

/// Flow control window of a channel; one large answer must not stop the others.
const CHANNEL_WINDOW: u32 = 4 << 20;

/// Flow control window of one grant.
const STREAM_WINDOW: u32 = 256 << 10;

/// Grants on a channel above which another channel to the same host is opened: one connection is
/// served by one task, which limits it to about ten thousand grants per second.
const CROWDED: u32 = 16;

/// Most channels to one host from the shared runtime.
const CHANNELS: usize = 4;

// The thread of a loop with one thread limits it, not the number of its connections.
fn most_channels() -> usize {
    match Handle::current().runtime_flavor() {
        RuntimeFlavor::CurrentThread => 1,
        _ => CHANNELS,
    }
}

#[derive(Debug)]
struct PeerChannel {
    client: BrokerClient<Channel>,
    /// Event loop that runs the connection.
    registered: EventLoop,
    heard: AtomicU64,
    grants: AtomicU32,
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

    /// Returns the kept channel of this event loop with the fewest grants, or a fresh one if none is
    /// good.
    ///
    /// A channel of another loop costs a wake-up of its thread for each message, and ends with it.
    fn channel(&self, address: &SharedName) -> Option<Arc<PeerChannel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = channels.entry(address.clone()).or_default();
        kept.retain(|channel| !channel.stale.load(Ordering::Relaxed));
        let here = current_loop();
        let mut own = 0;
        let mut best: Option<(&Arc<PeerChannel>, u32)> = None;
        for channel in kept.iter() {
            if channel.registered != here {
                continue;
            }
            own += 1;
            let grants = channel.grants.load(Ordering::Relaxed);
            if best.is_none_or(|(_, least)| grants < least) {
                best = Some((channel, grants));
            }
        }
        if let Some((channel, grants)) = best
            && (grants < CROWDED || own >= most_channels())
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
            .initial_connection_window_size(CHANNEL_WINDOW)
            .initial_stream_window_size(STREAM_WINDOW);
        let client = BrokerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(super::frame::MESSAGE_LIMIT + 1_024)
            .max_encoding_message_size(super::frame::MESSAGE_LIMIT + 1_024);
        let channel = Arc::new(PeerChannel {
            client,
            registered: here,
            heard: AtomicU64::new(0),
            grants: AtomicU32::new(0),
            stale: AtomicBool::new(false),
        });
        kept.push(Arc::clone(&channel));
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
            let GrantPeer { request, input, output } = peer;
            let grant = RemoteGrant { pool, address, request, output, sent: Arc::default() };
            grant.run(input).await;
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
        for _ in 0..2 {
            let channel = self.channel(address).ok_or(FailureKind::Unreachable)?;
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
            channel.stale.store(true, Ordering::Relaxed);
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
        let Some(channel) = self.channel(address) else { return false };
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
    /// Data has been handed to the transport.
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

    // Tries a fresh connection as long as nothing but the open request was sent.
    async fn open(
        &self,
        mut input: mpsc::Receiver<LinkInput>,
    ) -> Result<(ChannelUse, Streaming<v1::BrokerOutput>), LinkOutput> {
        for attempt in 0..2 {
            let channel = self
                .pool
                .channel(&self.address)
                .ok_or_else(|| self.verdict("bad address of the broker"))?;
            let channel = ChannelUse::new(channel);
            let recent = attempt == 0 && self.pool.heard_recently(&channel.0);
            let (answered, answer) = oneshot::channel();
            let (give_back, given_back) = oneshot::channel();
            let outgoing = OutgoingStream {
                open: Some(request_to_wire(&self.request)),
                answer: if recent { None } else { Some(answer) },
                input: Some(input),
                give_back: Some(give_back),
                sent: Arc::clone(&self.sent),
            };
            let mut client = channel.0.client.clone();
            tokio::select! {
                result = timeout(FIRST_ANSWER, client.run(Request::new(outgoing))) => {
                    if let Ok(Ok(response)) = result {
                        self.pool.heard(&channel.0);
                        let _ = answered.send(());
                        return Ok((channel, response.into_inner()));
                    }
                }
                () = self.output.closed() => return Err(self.verdict("the session has gone")),
            }
            channel.0.stale.store(true, Ordering::Relaxed);
            drop(answered);
            input = match timeout(GIVE_BACK, given_back).await {
                Ok(Ok(input)) if !self.sent.load(Ordering::Acquire) => input,
                _ => break,
            };
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

/// The session's side of a remote grant.
///
/// Sends the open request at once and the session's input as soon as the peer has shown that the
/// path works: until then a failure leaves no doubt that nothing was run.
struct OutgoingStream {
    open: Option<v1::GrantRequest>,
    /// Completes with the peer's first answer; absent if the peer was heard from recently.
    answer: Option<oneshot::Receiver<()>>,
    input: Option<mpsc::Receiver<LinkInput>>,
    /// Takes the input back for another attempt when the transport drops the stream.
    give_back: Option<oneshot::Sender<mpsc::Receiver<LinkInput>>>,
    sent: Arc<AtomicBool>,
}

impl Stream for OutgoingStream {
    type Item = v1::BrokerInput;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(open) = self.open.take() {
            return Poll::Ready(Some(v1::BrokerInput { input: Some(Input::Open(open)) }));
        }
        if let Some(answer) = self.answer.as_mut() {
            match Pin::new(answer).poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) => self.answer = None,
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
        if let (Some(give_back), Some(input)) = (self.give_back.take(), self.input.take()) {
            let _ = give_back.send(input);
        }
    }
}
