//! Client of the relay service: leases connections of other entries.

use {
    super::state,
    crate::{
        gateway::GatewayCore,
        pool::{ConnectRequest, LeaseFailure, PooledConnection, SessionValues},
    },
    banyansill_core::{
        collections::FastMap,
        directory::ProcessHost,
        failure::FailureKind,
        gateway::{RelayAttempt, RelayHealth},
        names::SharedName,
        time::Micros,
    },
    banyansill_target::{StatementProtocol, TargetConnection, TargetStream},
    banyansill_wire::directory_v1::{
        self as v1, lease_input::Input, lease_output::Output, relay_client::RelayClient,
    },
    bytes::BytesMut,
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex, split},
        sync::mpsc,
        time::timeout,
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::{
        Streaming,
        transport::{Channel, Endpoint},
    },
};

/// Capacity of the in-process pipe between a session and its leased connection, in bytes.
const PIPE_BYTES: usize = 64 * 1024;

/// Room for the bytes of one message to the other entry.
const READ_BYTES: usize = 4 * 1024;

/// Capacity of the queue of messages to the other entry.
const INPUT_DEPTH: usize = 8;

/// Timeout for connecting to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of HTTP/2 keep-alive pings on a connection to another entry that is in use.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why another entry leased no connection.
#[derive(Debug)]
enum RelayError {
    /// The entry refused the request.
    Refused(LeaseFailure),
    /// The entry did not respond.
    Unresponsive(String),
}

/// Handle for giving back a leased connection; the other entry closes the connection if the handle is dropped
/// without a release.
#[derive(Debug)]
pub(crate) struct RelayHandle {
    input: mpsc::Sender<v1::LeaseInput>,
}

impl RelayHandle {
    /// Gives a clean connection back to the other entry, together with its session state.
    pub(crate) async fn release(self, values: &SessionValues, prepared: &state::PreparedNames) {
        let input = Some(Input::Release(state::to_wire(values, prepared)));
        // The other entry closes the connection if this message does not arrive.
        let _ = self.input.send(v1::LeaseInput { input }).await;
    }
}

/// Connections to other entries by address, and which entries did not respond recently.
#[derive(Debug, Default)]
pub(crate) struct RelayClients {
    pub(super) channels: RefCell<FastMap<SharedName, Channel>>,
    pub(super) health: RefCell<RelayHealth>,
}

impl RelayClients {
    /// Leases a connection to a target from the first entry that grants one.
    ///
    /// # Errors
    ///
    /// Returns the last refusal.
    pub(crate) async fn open<P>(
        &self,
        core: &Rc<GatewayCore<P>>,
        entries: &[ProcessHost],
        name: (&SharedName, &SharedName),
        plan: &ConnectRequest,
        detour: bool,
    ) -> Result<PooledConnection<P>, LeaseFailure>
    where
        P: StatementProtocol,
    {
        let mut last = LeaseFailure { kind: FailureKind::Unreachable, retry_after: Micros::ZERO };
        let mut selection = self.health.borrow().select(entries, detour, core.clock.now());
        while let Some(attempt) = selection.next_attempt(plan.deadline.since(core.clock.now())) {
            let RelayAttempt { entry, wait, response_timeout } = attempt;
            let limit = wait + response_timeout;
            let result =
                timeout(limit.as_duration(), self.request_lease(core, &entry, name, plan, wait))
                    .await;
            match result {
                Ok(Ok(pooled)) => {
                    self.health.borrow_mut().record_response(&entry.host);
                    return Ok(pooled);
                }
                Ok(Err(RelayError::Refused(failure))) => {
                    self.health.borrow_mut().record_response(&entry.host);
                    // The target answered; another connection to it would get the same answer.
                    if matches!(failure.kind, FailureKind::NoPrimary | FailureKind::TooStale) {
                        return Err(failure);
                    }
                    selection.record_refusal();
                    last = failure;
                }
                Ok(Err(RelayError::Unresponsive(reason))) => {
                    self.record_failure(&entry, &reason, core.clock.now());
                    selection.record_unresponsive();
                }
                Err(_) => {
                    self.record_failure(&entry, "no response in time", core.clock.now());
                    selection.record_unresponsive();
                }
            }
        }
        Err(last)
    }

    /// Returns whether an entry recently did not respond.
    pub(crate) fn is_failing(&self, host: &SharedName, now: Micros) -> bool {
        self.health.borrow().is_failing(host, now)
    }

    /// Requests another entry's freshness marks of `groups` and records them.
    pub(crate) async fn request_marks<P>(
        &self,
        core: &GatewayCore<P>,
        entry: &ProcessHost,
        groups: &[SharedName],
        limit: Micros,
    ) where
        P: StatementProtocol,
    {
        let sent_at = core.clock.now();
        let names = groups.iter().map(ToString::to_string).collect();
        let request = async {
            let channel = self.channel(&entry.address).map_err(|error| error.to_string())?;
            let request = v1::MarksRequest { groups: names };
            let reply = RelayClient::new(channel).marks(request).await;
            reply.map_err(|status| status.to_string())
        };
        let response = timeout(limit.as_duration(), request).await;
        match response.unwrap_or_else(|_| Err("no response in time".to_owned())) {
            Ok(reply) => {
                for mark in reply.into_inner().marks {
                    let position = mark.position.map(Into::into);
                    let freshness = core.freshness(&mark.group.into());
                    freshness.record_reported(sent_at, Micros(mark.age_us), position);
                }
            }
            Err(reason) => self.record_failure(entry, &reason, core.clock.now()),
        }
    }

    pub(super) fn record_failure(&self, entry: &ProcessHost, reason: &str, now: Micros) {
        log::debug!("relay request to entry {} failed: {reason}", entry.host);
        self.health.borrow_mut().record_failure(&entry.host, now);
    }

    async fn request_lease<P>(
        &self,
        core: &Rc<GatewayCore<P>>,
        entry: &ProcessHost,
        (group, target): (&SharedName, &SharedName),
        plan: &ConnectRequest,
        wait: Micros,
    ) -> Result<PooledConnection<P>, RelayError>
    where
        P: StatementProtocol,
    {
        let unresponsive = |text: String| RelayError::Unresponsive(text);
        let channel =
            self.channel(&entry.address).map_err(|error| unresponsive(error.to_string()))?;
        let sent_at = core.clock.now();
        let (input, receiver) = mpsc::channel(INPUT_DEPTH);
        let open = v1::LeaseRequest {
            group: group.to_string(),
            target: target.to_string(),
            database: plan.database.to_string(),
            priority: plan.priority,
            transaction: plan.transaction,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            team: plan.team.to_string(),
            start: Some(state::start_to_wire(&plan.start)),
        };
        let open = v1::LeaseInput { input: Some(Input::Open(open)) };
        let _ = input.send(open).await;
        let reply = RelayClient::new(channel).lease(ReceiverStream::new(receiver)).await;
        let mut output = match reply {
            Ok(reply) => reply.into_inner(),
            Err(status) => {
                self.channels.borrow_mut().remove(&entry.address);
                return Err(unresponsive(status.to_string()));
            }
        };
        let first = output.message().await.map_err(|status| unresponsive(status.to_string()))?;
        match first.and_then(|first| first.output) {
            Some(Output::Granted(mut grant)) => {
                let mark = grant.mark.take().map(Into::into);
                let age = Micros(grant.mark_age_us);
                core.freshness(group).record_reported(sent_at, age, mark);
                let begun = grant.begun.take();
                let mut pooled = relayed_connection(core, input, output, grant);
                if let Some(begun) = begun {
                    pooled.resume_transaction(sent_at, begun.position.map(Into::into));
                }
                Ok(pooled)
            }
            Some(Output::Refused(refusal)) => Err(RelayError::Refused(LeaseFailure {
                kind: FailureKind::from_name(&refusal.kind).unwrap_or(FailureKind::Unreachable),
                retry_after: Micros::from_millis(refusal.retry_after_ms.into()),
            })),
            _ => Err(unresponsive("the lease ended before a response".to_owned())),
        }
    }

    pub(super) fn channel(&self, address: &SharedName) -> Result<Channel, tonic::transport::Error> {
        if let Some(channel) = self.channels.borrow().get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        let channel = endpoint.connect_lazy();
        self.channels.borrow_mut().insert(address.clone(), channel.clone());
        Ok(channel)
    }
}

/// Creates the connection of a granted lease and starts forwarding its bytes.
fn relayed_connection<P>(
    core: &Rc<GatewayCore<P>>,
    input: mpsc::Sender<v1::LeaseInput>,
    output: Streaming<v1::LeaseOutput>,
    grant: v1::LeaseGrant,
) -> PooledConnection<P>
where
    P: StatementProtocol,
{
    let (local, remote) = duplex(PIPE_BYTES);
    let connection =
        TargetConnection::from_stream(TargetStream::Relayed(local), core.protocol.clone());
    tokio::task::spawn_local(relay(Rc::clone(core), remote, input.clone(), output));
    let state = state::from_wire(grant.state.unwrap_or_default());
    PooledConnection::relayed(connection, core.clock.now(), state, RelayHandle { input })
}

/// Forwards bytes between a session and the other entry until either side closes.
async fn relay<P>(
    core: Rc<GatewayCore<P>>,
    pipe: DuplexStream,
    input: mpsc::Sender<v1::LeaseInput>,
    mut output: Streaming<v1::LeaseOutput>,
) {
    let (mut reader, mut writer) = split(pipe);
    let outbound = async move {
        let mut bytes = BytesMut::new();
        loop {
            // What is left of a buffer would split the next request in two messages.
            bytes.reserve(READ_BYTES);
            if !matches!(reader.read_buf(&mut bytes).await, Ok(count) if count > 0) {
                return;
            }
            core.count("relay.exchanges");
            let data = Some(Input::Data(bytes.split().freeze()));
            if input.send(v1::LeaseInput { input: data }).await.is_err() {
                return;
            }
        }
    };
    let inbound = async move {
        while let Ok(Some(message)) = output.message().await {
            let Some(Output::Data(bytes)) = message.output else { return };
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
    () = outbound => {}
    () = inbound => {}
    }
}
