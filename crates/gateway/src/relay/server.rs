//! Relay service: leases connections to other entries and runs their reads.

use {
    super::{
        admission,
        reads::{RelayedReadCall, refusal},
        state,
    },
    crate::{
        gateway::Gateway,
        pool::{
            ConnectionUser, LeaseFailure, LeaseOptions, LeaseStart, SessionValues, SlotOptions,
            TargetLease, TargetPool,
        },
    },
    banyansill_core::{
        failure::FailureKind, gateway::AttemptEnd, names::SharedName, time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_target::StatementProtocol,
    banyansill_wire::directory_v1::{
        self as v1,
        lease_input::Input,
        lease_output::Output,
        relay_server::{Relay, RelayServer},
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status, Streaming},
};

/// Capacity of the queue of relay requests for the thread of the pools.
const INBOX_DEPTH: usize = 256;

/// Capacity of the queue of messages to the other entry.
const OUTPUT_DEPTH: usize = 8;

/// Time for setting values, preparing and BEGIN on a lent connection; the borrowing entry waits 200 ms for the grant,
/// of which a round trip between regions takes 40 ms.
const START_TIMEOUT: Duration = Duration::from_millis(120);

type OutputSender = mpsc::Sender<Result<v1::LeaseOutput, Status>>;

/// Request of another entry, to be served on the thread of the pools.
#[derive(Debug)]
pub(crate) enum RelayRequest {
    /// Request for a connection.
    Lease(LeaseCall),
    /// Request to run a read.
    Read(RelayedReadCall),
    /// Request for the freshness marks of groups.
    Marks { groups: Vec<String>, reply: oneshot::Sender<v1::MarksReply> },
    /// Request to count an operation of a team.
    Admit { team: SharedName, reply: oneshot::Sender<v1::AdmitReply> },
}

/// Request of another entry to lease a connection.
#[derive(Debug)]
pub(crate) struct LeaseCall {
    input: Streaming<v1::LeaseInput>,
    output: OutputSender,
}

/// Receiver of the relay requests.
pub(crate) type RelayInbox = mpsc::Receiver<RelayRequest>;

/// The gRPC service; it runs on the listener's thread and passes requests to the thread of the pools.
#[derive(Debug)]
pub(crate) struct RelayService {
    inbox: mpsc::Sender<RelayRequest>,
}

impl RelayService {
    /// Creates the service, and the inbox that the thread of the pools receives from.
    pub(crate) fn new() -> (RelayServer<Self>, RelayInbox) {
        let (inbox, requests) = mpsc::channel(INBOX_DEPTH);
        (RelayServer::new(Self { inbox }), requests)
    }

    fn submit(&self, request: RelayRequest) -> Result<(), Status> {
        let full = |_| Status::resource_exhausted("too many requests wait");
        self.inbox.try_send(request).map_err(full)
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
        self.submit(RelayRequest::Lease(LeaseCall { input: request.into_inner(), output }))?;
        Ok(Response::new(ReceiverStream::new(replies)))
    }

    type ReadStream = ReceiverStream<Result<v1::RelayedReadReply, Status>>;

    async fn read(
        &self,
        request: Request<v1::RelayedRead>,
    ) -> Result<Response<Self::ReadStream>, Status> {
        let (reply, replies) = mpsc::channel(1);
        self.submit(RelayRequest::Read(RelayedReadCall { request: request.into_inner(), reply }))?;
        Ok(Response::new(ReceiverStream::new(replies)))
    }

    async fn marks(
        &self,
        request: Request<v1::MarksRequest>,
    ) -> Result<Response<v1::MarksReply>, Status> {
        let (reply, marks) = oneshot::channel();
        self.submit(RelayRequest::Marks { groups: request.into_inner().groups, reply })?;
        marks.await.map(Response::new).map_err(|_| Status::unavailable("the entry stops"))
    }

    async fn admit(
        &self,
        request: Request<v1::AdmitRequest>,
    ) -> Result<Response<v1::AdmitReply>, Status> {
        let (reply, outcome) = oneshot::channel();
        self.submit(RelayRequest::Admit { team: request.into_inner().team.into(), reply })?;
        outcome.await.map(Response::new).map_err(|_| Status::unavailable("the entry stops"))
    }
}

impl RelayRequest {
    /// Serves the request on the thread of the pools.
    pub(crate) async fn serve<P>(self, gateway: Rc<Gateway<P>>)
    where
        P: StatementProtocol,
    {
        match self {
            Self::Lease(call) => call.serve(gateway).await,
            Self::Read(read) => read.serve(gateway).await,
            Self::Marks { groups, reply } => {
                // The other entry may no longer be waiting.
                let _ = reply.send(gateway.known_marks(groups));
            }
            Self::Admit { team, reply } => {
                let verdict = gateway.core.teams.admit_for_peer(&team, gateway.now());
                let _ = reply.send(admission::verdict_to_wire(verdict));
            }
        }
    }
}

impl<P> Gateway<P>
where
    P: StatementProtocol,
{
    fn known_marks(&self, groups: Vec<String>) -> v1::MarksReply {
        let now = self.now();
        let mut marks = Vec::new();
        for group in groups {
            let Some(mark) = self.core.freshness(&group.as_str().into()).share_newest(now) else {
                continue;
            };
            let position = Some(mark.position.into());
            marks.push(v1::GroupMark { group, position, age_us: now.since(mark.sent_at).0 });
        }
        v1::MarksReply { marks }
    }
}

impl LeaseCall {
    async fn serve<P>(mut self, gateway: Rc<Gateway<P>>)
    where
        P: StatementProtocol,
    {
        let Ok(Some(first)) = self.input.message().await else { return };
        let Some(Input::Open(mut open)) = first.input else { return };
        let start = open.start.take().map(state::start_from_wire);
        match grant_lease(&gateway, &open, start).await {
            Ok(lease) => self.relay(&gateway, lease, &open.group.into()).await,
            Err(failure) => {
                self.send(Output::Refused(refusal(&failure))).await;
            }
        }
    }

    /// Forwards bytes between the other entry and the target until the lease ends.
    async fn relay<P>(mut self, gateway: &Gateway<P>, mut lease: TargetLease<P>, group: &SharedName)
    where
        P: StatementProtocol,
    {
        let (values, prepared) = lease.pooled.state();
        let (mark, mark_age_us) = gateway.newest_mark(group);
        let connection = &lease.pooled.connection;
        let begun = (connection.status() == TransactionStatus::InTransaction)
            .then(|| v1::TransactionBegun { position: connection.position().map(Into::into) });
        let mut used = begun.is_some();
        let grant = v1::LeaseGrant {
            state: Some(state::to_wire(values, prepared)),
            mark: mark.map(v1::Position::from),
            mark_age_us,
            begun,
        };
        if !self.send(Output::Granted(grant)).await {
            lease.clean_up();
            return;
        }
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
        // If the other entry stopped waiting for the grant, the connection is unused and can be reused.
        if used {
            lease.pooled.connection.close();
        }
    }

    async fn send(&self, output: Output) -> bool {
        self.output.send(Ok(v1::LeaseOutput { output: Some(output) })).await.is_ok()
    }
}

async fn grant_lease<P>(
    gateway: &Rc<Gateway<P>>,
    open: &v1::LeaseRequest,
    start: Option<LeaseStart>,
) -> Result<TargetLease<P>, LeaseFailure>
where
    P: StatementProtocol,
{
    let pool = relay_pool(gateway, &open.group, &open.target)?;
    let database = SharedName::from(open.database.as_str());
    let slot = SlotOptions {
        request: &Bytes::new(),
        database: &database,
        team: &open.team.as_str().into(),
        priority: open.priority,
        deadline: gateway.now() + Micros::from_millis(open.wait_ms.into()),
    };
    let no_values = SessionValues::new();
    let lease_request = LeaseOptions {
        slot,
        values: start.as_ref().map_or(&no_values, |start| &start.values),
        prepare: None,
        begin: None,
        trusted_idle: Micros::from_secs(1),
        transaction: open.transaction,
        detour: false,
        user: ConnectionUser::Peer,
    };
    let mut lease = pool.lease(&lease_request).await?;
    if let Some(start) = start {
        let started = timeout(START_TIMEOUT, lease.start(&start)).await;
        if let Err(end) = started.unwrap_or(Err(AttemptEnd::Lost)) {
            lease.clean_up();
            let kind = match end {
                AttemptEnd::Reported(error) => error.failure(),
                AttemptEnd::NotSent | AttemptEnd::Lost => FailureKind::Unreachable,
            };
            return Err(LeaseFailure::new(kind));
        }
    }
    if open.transaction {
        lease.release_slot();
    }
    Ok(lease)
}

/// Returns the pool of a target whose connections this entry may lease to other entries.
///
/// # Errors
///
/// Returns a refusal if the target is not known here or this entry has no connections to it.
pub(super) fn relay_pool<P>(
    gateway: &Rc<Gateway<P>>,
    group: &str,
    target: &str,
) -> Result<Rc<TargetPool<P>>, LeaseFailure>
where
    P: StatementProtocol,
{
    let table = gateway.table();
    let unreachable = LeaseFailure::new(FailureKind::Unreachable);
    let route = table.groups.get(group).ok_or_else(|| unreachable.clone())?;
    let report = route.target(&SharedName::from(target)).ok_or_else(|| unreachable.clone())?;
    let pool = gateway.pool(&table, route, report);
    // Two entries that relay through each other would forward a request back and forth.
    if pool.is_direct() { Ok(pool) } else { Err(unreachable) }
}
