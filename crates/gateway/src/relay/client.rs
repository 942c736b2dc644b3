//! Leasing a connection of another entry.

use {
    super::state,
    crate::{
        gateway::GatewayCore,
        pool::{LeaseFailure, OpenPlan, PooledConnection, SessionValues},
    },
    banyansill_core::{
        collections::FastMap, directory::ProcessHost, failure::FailureKind, names::SharedName,
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

/// Entries that are asked before the request counts as refused.
const ENTRIES_TRIED: usize = 2;

/// The same for a target that this entry cannot reach: others may be cut off as well, and refuse at once.
const DETOURS_TRIED: usize = 5;

/// Time for the connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for the grant; the other entry may have to open a connection and wait for a slot.
const GRANT_TIMEOUT: Duration = Duration::from_millis(900);

/// The same on a detour, where the next entry is a better choice than a long wait.
const DETOUR_TIMEOUT: Duration = Duration::from_millis(350);

/// Interval of pings on a connection to another entry that is in use.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which an unanswered ping ends the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

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
    channels: RefCell<FastMap<SharedName, Channel>>,
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
        plan: &OpenPlan,
        detour: bool,
    ) -> Result<PooledConnection<P>, LeaseFailure>
    where
        P: StatementProtocol,
    {
        let (tries, limit) =
            if detour { (DETOURS_TRIED, DETOUR_TIMEOUT) } else { (ENTRIES_TRIED, GRANT_TIMEOUT) };
        let mut last = LeaseFailure { kind: FailureKind::Unreachable, retry_after: Micros::ZERO };
        for entry in entries.iter().take(tries) {
            match timeout(limit, self.ask(core, entry, name, plan)).await {
                Ok(Ok(pooled)) => return Ok(pooled),
                Ok(Err(failure)) => last = failure,
                Err(_) => {
                    self.channels.borrow_mut().remove(&entry.address);
                }
            }
        }
        Err(last)
    }

    async fn ask<P>(
        &self,
        core: &GatewayCore<P>,
        entry: &ProcessHost,
        (group, target): (&SharedName, &SharedName),
        plan: &OpenPlan,
    ) -> Result<PooledConnection<P>, LeaseFailure>
    where
        P: StatementProtocol,
    {
        let unreachable = |text: String| {
            log::debug!("entry {}: {text}", entry.host);
            LeaseFailure { kind: FailureKind::Unreachable, retry_after: Micros::ZERO }
        };
        let channel =
            self.channel(&entry.address).map_err(|error| unreachable(error.to_string()))?;
        let asked = core.clock.now();
        let (input, receiver) = mpsc::channel(INPUT_DEPTH);
        let open = v1::LeaseRequest {
            group: group.to_string(),
            target: target.to_string(),
            database: plan.database.to_string(),
            priority: plan.priority,
            transaction: plan.transaction,
            wait_ms: u32::try_from(GRANT_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
        };
        let open = v1::LeaseInput { input: Some(Input::Open(open)) };
        let _ = input.send(open).await;
        let reply = RelayClient::new(channel).lease(ReceiverStream::new(receiver)).await;
        let mut output = match reply {
            Ok(reply) => reply.into_inner(),
            Err(status) => {
                self.channels.borrow_mut().remove(&entry.address);
                return Err(unreachable(status.to_string()));
            }
        };
        let first = output.message().await.map_err(|status| unreachable(status.to_string()))?;
        match first.and_then(|first| first.output) {
            Some(Output::Granted(mut grant)) => {
                // The mark was that old when the other entry answered, which was after `asked`.
                let mark = grant.mark.take().map(Into::into);
                core.freshness(group).record(asked.since(Micros(grant.mark_age_us)), mark);
                Ok(connect(core, input, output, grant))
            }
            Some(Output::Refused(refusal)) => Err(LeaseFailure {
                kind: FailureKind::from_name(&refusal.kind).unwrap_or(FailureKind::Unreachable),
                retry_after: Micros::from_millis(refusal.retry_after_ms.into()),
            }),
            _ => Err(unreachable("the lease ended at once".to_owned())),
        }
    }

    fn channel(&self, address: &SharedName) -> Result<Channel, tonic::transport::Error> {
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
        TargetConnection::on_stream(TargetStream::Relayed(near), core.protocol.clone());
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
