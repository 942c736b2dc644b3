//! Control's own probes of targets.

use {
    banyansill_core::{
        directory::{ServerLog, TargetReport},
        gateway::TargetError,
        names::SharedName,
        position::LogTerm,
        time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_target::{
        ConnectError, ConnectionOptions, ProbeRow, StartRequest, StatementProtocol,
        TargetConnection, TargetRequest,
    },
    std::{io, time::Duration},
    tokio::{task::JoinSet, time::timeout},
};

/// Time for one probe on an open connection; regions are 20 ms apart.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limits of a new connection. A target whose slots are all busy responds late to the start request.
const CONNECTION_OPTIONS: ConnectionOptions = ConnectionOptions {
    connect_timeout: Duration::from_millis(200),
    start_timeout: Duration::from_millis(600),
};

/// Time for a request to a target during a promotion, including the connection.
const TARGET_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a probe of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// It is a primary, or it refused the connection with an error reply and so is alive.
    Primary,
    /// It responds but is not a primary.
    Replica,
    /// It does not respond.
    Unresponsive,
    /// Its address refuses connections.
    Refused,
}

/// Connection to one target and the results of the last probes.
#[derive(Debug)]
pub(crate) struct TargetProbe<P> {
    protocol: P,
    host: SharedName,
    clock: MonotonicClock,
    target: SharedName,
    connection: Option<TargetConnection<P>>,
    /// Start of the first probe of those that have failed since the last response.
    pub(crate) silent_since: Option<Micros>,
    /// Start of the first probe of those that found a replica since one last found a primary.
    pub(crate) replica_since: Option<Micros>,
    /// Whether the address refused the last connection.
    pub(crate) refusing: bool,
}

impl<P> TargetProbe<P>
where
    P: StatementProtocol,
{
    pub(crate) fn new(protocol: P, host: SharedName, clock: MonotonicClock) -> Self {
        Self {
            protocol,
            host,
            clock,
            target: SharedName::default(),
            connection: None,
            silent_since: None,
            replica_since: None,
            refusing: false,
        }
    }

    /// Checks whether a target is a primary, on a new connection if the open one fails.
    pub(crate) async fn check(&mut self, report: &TargetReport) -> ProbeResult {
        if self.target != report.target {
            *self = Self::new(self.protocol.clone(), self.host.clone(), self.clock);
            self.target = report.target.clone();
        }
        let begun = self.clock.now();
        let mut result = self.try_check().await;
        if result.is_none() {
            result = match self.connect(report).await {
                Ok(()) => self.try_check().await,
                Err(refused) => Some(refused),
            };
        }
        let result = result.unwrap_or(ProbeResult::Unresponsive);
        self.refusing = result == ProbeResult::Refused;
        match result {
            ProbeResult::Primary => {
                self.silent_since = None;
                self.replica_since = None;
            }
            ProbeResult::Replica => {
                self.silent_since = None;
                self.replica_since.get_or_insert(begun);
            }
            ProbeResult::Unresponsive | ProbeResult::Refused => {
                self.connection = None;
                self.silent_since.get_or_insert(begun);
            }
        }
        result
    }

    async fn connect(&mut self, report: &TargetReport) -> Result<(), ProbeResult> {
        match open(&self.protocol, &self.host, report).await {
            Ok(connection) => {
                self.connection = Some(connection);
                Ok(())
            }
            Err(ConnectError::Unreachable { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Err(ProbeResult::Refused)
            }
            // A target that refuses the connection for another reason is alive.
            Err(ConnectError::Refused(_)) => Err(ProbeResult::Primary),
            Err(ConnectError::Unreachable { .. }) => Err(ProbeResult::Unresponsive),
        }
    }

    /// Probes on the open connection; returns `None` if there is none or it gets no response.
    async fn try_check(&mut self) -> Option<ProbeResult> {
        let mut connection = self.connection.take()?;
        let exchange = async {
            let begin = TargetRequest::Begin { read_only: false, floor: None };
            let begun = connection.run(begin).await.ok()?;
            if begun.status != TransactionStatus::Idle {
                connection.run(TargetRequest::Rollback).await.ok()?;
            }
            let is_primary = begun.outcome.is_ok();
            Some(if is_primary { ProbeResult::Primary } else { ProbeResult::Replica })
        };
        let result = timeout(PROBE_TIMEOUT, exchange).await.ok().flatten();
        if result.is_some() && connection.is_clean() {
            self.connection = Some(connection);
        }
        result
    }
}

/// Request to a target during a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlRequest {
    /// Requests the role and the received log position.
    Position,
    /// Pauses a replica under a term, so that it receives no more commits, and requests the same data.
    Pause(LogTerm),
    /// Lets a paused replica receive commits again.
    Resume,
    /// Makes a primary of a lower term a replica, so that it acknowledges no more commits, and requests the same data.
    Demote(LogTerm),
}

/// Returns the log that a target reports.
pub(crate) const fn server_log(row: &ProbeRow) -> ServerLog {
    ServerLog { term: row.term, received: row.received }
}

/// Sends a request to a target on a new connection; returns `None` if it does not respond in time.
pub(crate) async fn request_row<P>(
    protocol: &P,
    host: &SharedName,
    report: &TargetReport,
    request: ControlRequest,
) -> Option<ProbeRow>
where
    P: StatementProtocol,
{
    let target_request = match request {
        ControlRequest::Position => TargetRequest::Probe,
        ControlRequest::Pause(term) => TargetRequest::Pause(term),
        ControlRequest::Resume => TargetRequest::Resume,
        ControlRequest::Demote(term) => TargetRequest::Demote(term),
    };
    let exchange = async {
        let mut connection = open(protocol, host, report).await.ok()?;
        let row = connection.probe(target_request).await.ok()?;
        connection.end().await;
        row
    };
    timeout(TARGET_REQUEST_TIMEOUT, exchange).await.ok().flatten()
}

/// Sends a request to several targets at the same time, and returns the answers of those that respond in time.
pub(crate) async fn request_rows<P>(
    protocol: &P,
    host: &SharedName,
    targets: &[&TargetReport],
    request: ControlRequest,
) -> Vec<(SharedName, ProbeRow)>
where
    P: StatementProtocol,
{
    let mut requests = JoinSet::new();
    for report in targets {
        let (protocol, host, report) = (protocol.clone(), host.clone(), (*report).clone());
        requests.spawn(async move {
            let row = request_row(&protocol, &host, &report, request).await;
            row.map(|row| (report.target, row))
        });
    }
    requests.join_all().await.into_iter().flatten().collect()
}

/// Result of a check of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaCheck {
    /// It reports this.
    Answered(ProbeRow),
    /// Its process has ended: the address refuses connections or belongs to another server.
    Ended,
    /// It does not respond, and may run.
    Silent,
}

/// Checks several replicas at the same time.
pub(crate) async fn check_replicas<P>(
    protocol: &P,
    host: &SharedName,
    replicas: &[&TargetReport],
) -> Vec<(TargetReport, ReplicaCheck)>
where
    P: StatementProtocol,
{
    let mut checks = JoinSet::new();
    for report in replicas {
        let (protocol, host, report) = (protocol.clone(), host.clone(), (*report).clone());
        checks.spawn(async move {
            let check = timeout(TARGET_REQUEST_TIMEOUT, check_replica(&protocol, &host, &report));
            let result = check.await.unwrap_or(ReplicaCheck::Silent);
            (report, result)
        });
    }
    checks.join_all().await
}

async fn check_replica<P>(protocol: &P, host: &SharedName, report: &TargetReport) -> ReplicaCheck
where
    P: StatementProtocol,
{
    let mut connection = match open(protocol, host, report).await {
        Ok(connection) => connection,
        Err(ConnectError::Unreachable { source, .. })
            if source.kind() == io::ErrorKind::ConnectionRefused =>
        {
            return ReplicaCheck::Ended;
        }
        Err(ConnectError::Refused(TargetError::Misrouted)) => return ReplicaCheck::Ended,
        Err(_) => return ReplicaCheck::Silent,
    };
    let row = connection.probe(TargetRequest::Probe).await.ok().flatten();
    connection.end().await;
    row.map_or(ReplicaCheck::Silent, ReplicaCheck::Answered)
}

async fn open<P>(
    protocol: &P,
    host: &SharedName,
    report: &TargetReport,
) -> Result<TargetConnection<P>, ConnectError>
where
    P: StatementProtocol,
{
    let address = report.address.parse().map_err(|_| ConnectError::Unreachable {
        address: report.address.to_string(),
        source: io::ErrorKind::InvalidInput.into(),
    })?;
    let start = StartRequest {
        group: report.group.clone(),
        user: host.clone(),
        target: report.target.clone(),
    };
    TargetConnection::open(address, &start, protocol.clone(), CONNECTION_OPTIONS).await
}
