//! Leasing a connection of another entry.

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
    std::{cell::RefCell, time::Duration},
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

/// Bytes in flight between a session and its lease.
const PIPE_BYTES: usize = 64 * 1024;

/// Messages in flight to the other entry.
const INPUT_DEPTH: usize = 8;

/// Time for the connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of pings on a connection to another entry that is in use.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unanswered ping ends the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Why another entry lent no connection.
#[derive(Debug)]
enum LendError {
    /// It refused.
    Refused(LeaseFailure),
    /// It gave no answer.
    NoAnswer(String),
}

/// Way back of a leased connection; dropping it without a release closes the connection.
#[derive(Debug)]
pub(crate) struct RelayHandle {
    input: mpsc::Sender<v1::LeaseInput>,
}

impl RelayHandle {
    /// Gives a clean connection back with the state that it carries.
    pub(crate) async fn release(self, values: &SessionValues, prepared: &state::PreparedNames) {
        let input = Some(Input::Release(state::to_wire(values, prepared)));
        // The other entry closes the connection if this does not arrive.
        let _ = self.input.send(v1::LeaseInput { input }).await;
    }
}

/// Connections to other entries by address.
#[derive(Debug, Default)]
pub(crate) struct RelayClients {
    pub(super) channels: RefCell<FastMap<SharedName, Channel>>,
    pub(super) lenders: RefCell<RelayHealth>,
}

impl RelayClients {
    /// Leases a connection to a target of the first entry that has one.
    ///
    /// # Errors
    ///
    /// Returns the last refusal.
    pub(crate) async fn open<P>(
        &self,
        core: &GatewayCore<P>,
        entries: &[ProcessHost],
        name: (&SharedName, &SharedName),
        plan: &ConnectRequest,
        detour: bool,
    ) -> Result<PooledConnection<P>, LeaseFailure>
    where
        P: StatementProtocol,
    {
        let mut last = LeaseFailure { kind: FailureKind::Unreachable, retry_after: Micros::ZERO };
        let mut round = self.lenders.borrow().select(entries, detour, core.clock.now());
        while let Some(turn) = round.next_attempt(plan.deadline.since(core.clock.now())) {
            let RelayAttempt { entry, wait, response_timeout } = turn;
            let limit = wait + response_timeout;
            let asked =
                timeout(limit.as_duration(), self.ask(core, &entry, name, plan, wait)).await;
            match asked {
                Ok(Ok(pooled)) => {
                    self.lenders.borrow_mut().record_response(&entry.host);
                    return Ok(pooled);
                }
                Ok(Err(LendError::Refused(failure))) => {
                    self.lenders.borrow_mut().record_response(&entry.host);
                    round.record_refusal();
                    last = failure;
                }
                Ok(Err(LendError::NoAnswer(reason))) => {
                    self.note_silent(&entry, &reason, core.clock.now());
                    round.record_unresponsive();
                }
                Err(_) => {
                    self.note_silent(&entry, "no answer in time", core.clock.now());
                    round.record_unresponsive();
                }
            }
        }
        Err(last)
    }

    /// Returns whether an entry gave no answer a moment ago.
    pub(crate) fn is_failing(&self, host: &SharedName, now: Micros) -> bool {
        self.lenders.borrow().is_failing(host, now)
    }

    /// Asks another entry for the positions of primaries that it knows.
    pub(crate) async fn ask_marks<P>(
        &self,
        core: &GatewayCore<P>,
        entry: &ProcessHost,
        groups: &[SharedName],
        limit: Micros,
    ) where
        P: StatementProtocol,
    {
        let asked = core.clock.now();
        let names = groups.iter().map(ToString::to_string).collect();
        let question = async {
            let channel = self.channel(&entry.address).map_err(|error| error.to_string())?;
            let request = v1::MarksRequest { groups: names };
            let reply = RelayClient::new(channel).marks(request).await;
            reply.map_err(|status| status.to_string())
        };
        let answered = timeout(limit.as_duration(), question).await;
        match answered.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            Ok(reply) => {
                for mark in reply.into_inner().marks {
                    let position = mark.position.map(Into::into);
                    let freshness = core.freshness(&mark.group.into());
                    freshness.record_reported(asked, Micros(mark.age_us), position);
                }
            }
            Err(reason) => self.note_silent(entry, &reason, core.clock.now()),
        }
    }

    pub(super) fn note_silent(&self, entry: &ProcessHost, reason: &str, now: Micros) {
        log::debug!("entry {} lends nothing: {reason}", entry.host);
        self.lenders.borrow_mut().record_failure(&entry.host, now);
    }

    async fn ask<P>(
        &self,
        core: &GatewayCore<P>,
        entry: &ProcessHost,
        (group, target): (&SharedName, &SharedName),
        plan: &ConnectRequest,
        wait: Micros,
    ) -> Result<PooledConnection<P>, LendError>
    where
        P: StatementProtocol,
    {
        let silent = |text: String| LendError::NoAnswer(text);
        let channel = self.channel(&entry.address).map_err(|error| silent(error.to_string()))?;
        let asked = core.clock.now();
        let (input, receiver) = mpsc::channel(INPUT_DEPTH);
        let open = v1::LeaseRequest {
            group: group.to_string(),
            target: target.to_string(),
            database: plan.database.to_string(),
            priority: plan.priority,
            transaction: plan.transaction,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let open = v1::LeaseInput { input: Some(Input::Open(open)) };
        let _ = input.send(open).await;
        let reply = RelayClient::new(channel).lease(ReceiverStream::new(receiver)).await;
        let mut output = match reply {
            Ok(reply) => reply.into_inner(),
            Err(status) => {
                self.channels.borrow_mut().remove(&entry.address);
                return Err(silent(status.to_string()));
            }
        };
        let first = output.message().await.map_err(|status| silent(status.to_string()))?;
        match first.and_then(|first| first.output) {
            Some(Output::Granted(mut grant)) => {
                let mark = grant.mark.take().map(Into::into);
                let age = Micros(grant.mark_age_us);
                core.freshness(group).record_reported(asked, age, mark);
                Ok(connect(core, input, output, grant))
            }
            Some(Output::Refused(refusal)) => Err(LendError::Refused(LeaseFailure {
                kind: FailureKind::from_name(&refusal.kind).unwrap_or(FailureKind::Unreachable),
                retry_after: Micros::from_millis(refusal.retry_after_ms.into()),
            })),
            _ => Err(silent("the lease ended at once".to_owned())),
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

fn connect<P>(
    core: &GatewayCore<P>,
    input: mpsc::Sender<v1::LeaseInput>,
    output: Streaming<v1::LeaseOutput>,
    grant: v1::LeaseGrant,
) -> PooledConnection<P>
where
    P: StatementProtocol,
{
    let (near, far) = duplex(PIPE_BYTES);
    let connection =
        TargetConnection::from_stream(TargetStream::Relayed(near), core.protocol.clone());
    tokio::task::spawn_local(pass(far, input.clone(), output));
    let state = state::from_wire(grant.state.unwrap_or_default());
    PooledConnection::relayed(connection, core.clock.now(), state, RelayHandle { input })
}

/// Passes bytes between a session and the other entry until either end closes.
async fn pass(
    pipe: DuplexStream,
    input: mpsc::Sender<v1::LeaseInput>,
    mut output: Streaming<v1::LeaseOutput>,
) {
    let (mut reader, mut writer) = split(pipe);
    let outward = async move {
        let mut bytes = BytesMut::new();
        while matches!(reader.read_buf(&mut bytes).await, Ok(count) if count > 0) {
            let data = Some(Input::Data(bytes.split().freeze()));
            if input.send(v1::LeaseInput { input: data }).await.is_err() {
                return;
            }
        }
    };
    let inward = async move {
        while let Ok(Some(message)) = output.message().await {
            let Some(Output::Data(bytes)) = message.output else { return };
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = outward => {}
        () = inward => {}
    }
}
