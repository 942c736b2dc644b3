//! Control's own look at targets.

use {
    banyansill_core::{
        directory::TargetReport, names::SharedName, position::LogTerm, time::Micros,
        transaction::TransactionStatus,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_target::{
        ConnectError, ConnectionOptions, ProbeRow, StartRequest, StatementProtocol,
        TargetConnection, TargetRequest,
    },
    std::{io, time::Duration},
    tokio::time::timeout,
};

/// Time for one look on an open connection; regions are 20 ms apart.
const LOOK_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits of a fresh connection. A target with all slots busy answers the introduction late.
const OPTIONS: ConnectionOptions = ConnectionOptions {
    connect_timeout: Duration::from_millis(200),
    start_timeout: Duration::from_millis(600),
};

/// Time for a question to a replica during a change of primary, its connection included.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// What a look at a target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookResult {
    /// It leads.
    Leads,
    /// It answers but does not lead.
    Follows,
    /// It does not answer.
    Silent,
    /// Its address refuses connections.
    Refusing,
}

/// Connection to one target and what the last looks showed.
#[derive(Debug)]
pub(crate) struct TargetProbe<P> {
    protocol: P,
    host: SharedName,
    clock: MonotonicClock,
    target: SharedName,
    connection: Option<TargetConnection<P>>,
    /// When the first of the failed looks began.
    pub(crate) silent_since: Option<Micros>,
    /// When the target first answered as a replica.
    pub(crate) following_since: Option<Micros>,
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
            following_since: None,
            refusing: false,
        }
    }

    /// Looks whether a target leads, on a fresh connection if the kept one fails.
    pub(crate) async fn look(&mut self, report: &TargetReport) -> LookResult {
        if self.target != report.target {
            *self = Self::new(self.protocol.clone(), self.host.clone(), self.clock);
            self.target = report.target.clone();
        }
        let begun = self.clock.now();
        let mut result = self.try_look().await;
        if result.is_none() {
            result = match self.connect(report).await {
                Ok(()) => self.try_look().await,
                Err(refused) => Some(refused),
            };
        }
        let result = result.unwrap_or(LookResult::Silent);
        self.refusing = result == LookResult::Refusing;
        match result {
            LookResult::Leads => {
                self.silent_since = None;
                self.following_since = None;
            }
            LookResult::Follows => {
                self.silent_since = None;
                self.following_since.get_or_insert(begun);
            }
            LookResult::Silent | LookResult::Refusing => {
                self.connection = None;
                self.silent_since.get_or_insert(begun);
            }
        }
        result
    }

    async fn connect(&mut self, report: &TargetReport) -> Result<(), LookResult> {
        match open(&self.protocol, &self.host, report).await {
            Ok(connection) => {
                self.connection = Some(connection);
                Ok(())
            }
            Err(ConnectError::Unreachable { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Err(LookResult::Refusing)
            }
            // A target that refuses for another reason is alive.
            Err(ConnectError::Refused(_)) => Err(LookResult::Leads),
            Err(ConnectError::Unreachable { .. }) => Err(LookResult::Silent),
        }
    }

    /// Returns `None` if the kept connection gives no answer.
    async fn try_look(&mut self) -> Option<LookResult> {
        let mut connection = self.connection.take()?;
        let looked = async {
            let begin = TargetRequest::Begin { read_only: false, floor: None };
            let begun = connection.run(begin).await.ok()?;
            if begun.status != TransactionStatus::Idle {
                connection.run(TargetRequest::Rollback).await.ok()?;
            }
            let leads = begun.outcome.is_ok();
            Some(if leads { LookResult::Leads } else { LookResult::Follows })
        };
        let result = timeout(LOOK_TIMEOUT, looked).await.ok().flatten();
        if result.is_some() && connection.is_clean() {
            self.connection = Some(connection);
        }
        result
    }
}

/// Order or question to a replica during a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaQuestion {
    /// Asks how far it has come.
    Position,
    /// Stops it from receiving and asks how far it has come.
    Pause(LogTerm),
    /// Lets it receive again.
    Resume,
}

/// Asks a target on a fresh connection; `None` if it does not answer in time.
pub(crate) async fn ask<P>(
    protocol: &P,
    host: &SharedName,
    report: &TargetReport,
    question: ReplicaQuestion,
) -> Option<ProbeRow>
where
    P: StatementProtocol,
{
    let request = match question {
        ReplicaQuestion::Position => TargetRequest::Probe,
        ReplicaQuestion::Pause(term) => TargetRequest::Pause(term),
        ReplicaQuestion::Resume => TargetRequest::Resume,
    };
    let asked = async {
        let mut connection = open(protocol, host, report).await.ok()?;
        let row = connection.probe(request).await.ok()?;
        connection.end().await;
        row
    };
    timeout(ASK_TIMEOUT, asked).await.ok().flatten()
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
    TargetConnection::open(address, &start, protocol.clone(), OPTIONS).await
}
