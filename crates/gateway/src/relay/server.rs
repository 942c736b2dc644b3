//! Lending connections to other entries.

use {
    super::state,
    crate::{
        gateway::Gateway,
        pool::{LeaseFailure, LeaseWish, SessionValues, SlotWish, TargetLease},
    },
    banyansill_core::{failure::FailureKind, names::SharedName, time::Micros},
    banyansill_target::StatementProtocol,
    banyansill_wire::directory_v1::{
        self as v1,
        lease_input::Input,
        lease_output::Output,
        relay_server::{Relay, RelayServer},
    },
    std::rc::Rc,
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status, Streaming},
};

/// Requests of other entries that wait for the thread of the pools.
const INBOX_DEPTH: usize = 256;

/// Messages in flight to the other entry.
const OUTPUT_DEPTH: usize = 8;

type OutputSender = mpsc::Sender<Result<v1::LeaseOutput, Status>>;

/// Request of another entry on its way to the thread of the pools.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    input: Streaming<v1::LeaseInput>,
    output: OutputSender,
}

/// Receiving end of the requests.
pub(crate) type RelayInbox = mpsc::Receiver<RelayRequest>;

/// The tonic service, on the thread of the listener.
#[derive(Debug)]
pub(crate) struct RelayService {
    inbox: mpsc::Sender<RelayRequest>,
}

impl RelayService {
    /// Creates the service and the inbox that the thread of the pools empties.
    pub(crate) fn new() -> (RelayServer<Self>, RelayInbox) {
        let (inbox, requests) = mpsc::channel(INBOX_DEPTH);
        (RelayServer::new(Self { inbox }), requests)
    }
}

#[tonic::async_trait]
impl Relay for RelayService {
    type LeaseStream = ReceiverStream<Result<v1::LeaseOutput, Status>>;

    async fn lease(
        &self,
        request: Request<Streaming<v1::LeaseInput>>,
    ) -> Result<Response<Self::LeaseStream>, Status> {
        let (output, replies) = mpsc::channel(OUTPUT_DEPTH);
        let request = RelayRequest { input: request.into_inner(), output };
        self.inbox
            .try_send(request)
            .map_err(|_| Status::resource_exhausted("too many requests wait"))?;
        Ok(Response::new(ReceiverStream::new(replies)))
    }
}

impl RelayRequest {
    /// Serves the request on the thread of the pools.
    pub(crate) async fn serve<P>(mut self, gateway: Rc<Gateway<P>>)
    where
        P: StatementProtocol,
    {
        let Ok(Some(first)) = self.input.message().await else { return };
        let Some(Input::Open(open)) = first.input else { return };
        match lend(&gateway, &open).await {
            Ok(lease) => self.pass(&gateway, lease, &open.group.into()).await,
            Err(failure) => {
                let retry_after_ms = failure.retry_after.as_millis();
                let refusal = v1::LeaseRefusal {
                    kind: failure.kind.name().to_owned(),
                    retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
                };
                self.send(Output::Refused(refusal)).await;
            }
        }
    }

    async fn pass<P>(mut self, gateway: &Gateway<P>, mut lease: TargetLease<P>, group: &SharedName)
    where
        P: StatementProtocol,
    {
        let (values, prepared) = lease.pooled.state();
        let (mark, mark_age_us) = gateway.newest_mark(group);
        let grant = v1::LeaseGrant {
            state: Some(state::to_wire(values, prepared)),
            mark: mark.map(v1::Position::from),
            mark_age_us,
        };
        if !self.send(Output::Granted(grant)).await {
            return;
        }
        let mut used = false;
        loop {
            tokio::select! {
                message = self.input.message() => match message.ok().flatten() {
                    Some(v1::LeaseInput { input: Some(Input::Data(bytes)) }) => {
                        used = true;
                        if lease.pooled.connection.write_raw(&bytes).await.is_err() {
                            break;
                        }
                    }
                    Some(v1::LeaseInput { input: Some(Input::Release(state)) }) => {
                        let (values, prepared) = state::from_wire(state);
                        lease.pooled.set_state(values, prepared);
                        lease.pooled.connection.restore();
                        return;
                    }
                    _ => break,
                },
                bytes = lease.pooled.connection.read_raw() => {
                    used = true;
                    match bytes {
                        Ok(bytes) if !bytes.is_empty() => {
                            if !self.send(Output::Data(bytes)).await {
                                break;
                            }
                        }
                        _ => break,
                    }
                }
            }
        }
        // A session that stopped waiting for the grant leaves the connection as it was.
        if used {
            lease.pooled.connection.close();
        }
    }

    async fn send(&self, output: Output) -> bool {
        self.output.send(Ok(v1::LeaseOutput { output: Some(output) })).await.is_ok()
    }
}

async fn lend<P>(
    gateway: &Rc<Gateway<P>>,
    open: &v1::LeaseRequest,
) -> Result<TargetLease<P>, LeaseFailure>
where
    P: StatementProtocol,
{
    let table = gateway.table();
    let unknown = LeaseFailure { kind: FailureKind::Unreachable, retry_after: Micros::ZERO };
    let route = table.groups.get(open.group.as_str()).ok_or_else(|| unknown.clone())?;
    let report = route.target(&open.target).ok_or_else(|| unknown.clone())?;
    let pool = gateway.pool(&table, route, report);
    // Two entries that count on each other would pass a request to and fro.
    if !pool.is_direct() {
        return Err(unknown);
    }
    let database = SharedName::from(open.database.as_str());
    let slot = SlotWish {
        database: &database,
        priority: open.priority,
        deadline: gateway.now() + Micros::from_millis(open.wait_ms.into()),
    };
    let wish = LeaseWish {
        slot,
        values: &SessionValues::new(),
        trusted_idle: Micros::from_secs(1),
        transaction: open.transaction,
        detour: false,
    };
    let mut lease = pool.lease(&wish).await?;
    if open.transaction {
        lease.release_slot();
    }
    Ok(lease)
}
