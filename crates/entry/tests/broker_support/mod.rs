//! Scripted PostgreSQL target and the broker hub of one host, for the tests of the broker.

#![allow(dead_code, reason = "each test binary uses a part of the support")]
#![allow(clippy::unwrap_used, clippy::must_use_candidate, clippy::missing_const_for_fn)]

pub mod fake;

use {
    banyansill_core::{
        failure::FailureKind,
        names::SharedName,
        position::{LogPosition, LogTerm},
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute, TermStart},
        time::Micros,
    },
    banyansill_entry::{
        broker::{BrokerHandle, BrokerHub, BrokerSettings, service},
        lease::NodeLease,
        link::{
            GrantAccess, GrantLink, GrantRequest, GrantRouter, LinkInput, LinkOutput,
            TransactionStatus,
        },
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink},
    bytes::{Bytes, BytesMut},
    fake::FakeTarget,
    postgres_protocol::message::frontend,
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch, time::timeout},
    tokio_stream::{StreamExt, wrappers::TcpListenerStream},
};

/// Runs a test on a multi-threaded runtime with a time limit.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        timeout(Duration::from_secs(20), test).await.expect("the test took too long")
    });
}

/// One host with its hub.
pub struct TestHost {
    pub handle: BrokerHandle,
    pub lease: NodeLease,
    pub clock: MonotonicClock,
    pub routes: watch::Sender<Arc<RouteTable>>,
    pub events: EventSink,
}

impl TestHost {
    pub fn start(host: &str, table: RouteTable) -> Self {
        let clock = MonotonicClock::start();
        let lease = NodeLease::new(clock);
        lease.extend(Micros::from_secs(3_600));
        Self::start_with(host, table, clock, lease)
    }

    pub fn start_with(
        host: &str,
        table: RouteTable,
        clock: MonotonicClock,
        lease: NodeLease,
    ) -> Self {
        let (routes, receiver) = watch::channel(Arc::new(table));
        let events = EventSink::new(host.into());
        let metrics = banyansill_runtime::metrics::open(None).unwrap();
        let handle = BrokerHub::spawn(
            BrokerSettings::new(host.into(), "app"),
            clock,
            lease.clone(),
            receiver,
            events.clone(),
            metrics,
        );
        Self { handle, lease, clock, routes, events }
    }

    /// Serves the brokers of this host to other hosts and returns the address.
    pub async fn listen(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let service = service(&self.handle);
        // With Nagle's algorithm each answer would wait for a delayed TCP acknowledgement.
        let incoming = TcpListenerStream::new(listener).map(|stream| {
            let stream = stream?;
            stream.set_nodelay(true)?;
            Ok::<_, std::io::Error>(stream)
        });
        tokio::spawn(
            tonic::transport::Server::builder().add_service(service).serve_with_incoming(incoming),
        );
        address
    }

    pub fn publish(&self, table: RouteTable) {
        self.routes.send_replace(Arc::new(table));
    }

    /// Waits up to 5 s for a report of the broker of `server` that `accept` returns true for.
    pub async fn wait_for_report<F>(&self, server: &str, accept: F)
    where
        F: Fn(&banyansill_wire::v1::TargetReport) -> bool,
    {
        let mut reports = self.handle.reports();
        let found = reports.wait_for(|reports| {
            reports.iter().any(|report| report.server == server && accept(report))
        });
        let result = timeout(Duration::from_secs(5), found).await.map(|found| found.map(drop));
        let seen = self.handle.reports().borrow().clone();
        assert!(matches!(result, Ok(Ok(()))), "no such report: {seen:?}");
    }

    /// Waits until no grant is open.
    pub async fn wait_for_no_grants(&self) {
        while self.handle.open_grants() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the broker of `server` knows the role of its target and has pooled connections.
    pub async fn wait_until_connected(&self, server: &str) {
        self.wait_for_report(server, |report| report.role != 0 && report.open_connections > 1)
            .await;
    }
}

/// Live replica with 3 slots in the route table; [`table`] makes the target `p` the primary.
pub fn target(server: &str, fake: &FakeTarget, broker: &str, broker_address: &str) -> TargetRoute {
    TargetRoute {
        server: server.into(),
        address: fake.address.as_str().into(),
        replication_address: "127.0.0.1:1".into(),
        region: "r".into(),
        zone: "z".into(),
        role: TargetRole::Replica,
        broker: broker.into(),
        broker_address: broker_address.into(),
        epoch: 1,
        slots: 3,
        connections: 12,
        live: true,
        draining: false,
    }
}

/// Table with the database `db` in term 1 under the primary `p`.
pub fn table(targets: Vec<TargetRoute>) -> RouteTable {
    let mut route = DatabaseRoute {
        term: LogTerm(1),
        primary: Some("p".into()),
        history: vec![TermStart { term: LogTerm(1), start: LogPosition::ZERO }],
        targets,
        ..DatabaseRoute::default()
    };
    for target in &mut route.targets {
        if target.server.as_str() == "p" {
            target.role = TargetRole::Primary;
        }
    }
    table_with_route(route)
}

pub fn table_with_route(route: DatabaseRoute) -> RouteTable {
    let mut table = RouteTable { version: 1, ..RouteTable::default() };
    table.databases.insert("db".into(), Arc::new(route));
    table
}

pub fn request(server: &str, access: GrantAccess) -> GrantRequest {
    GrantRequest {
        database: "db".into(),
        server: server.into(),
        epoch: 1,
        term: 1,
        kind: "order".into(),
        application: "app".into(),
        floor: None,
        max_age: None,
        access,
        deadline: Micros::from_secs(5),
        estimate: None,
        replica_ack: false,
        priority: 1,
        fingerprint: 7,
    }
}

pub fn read(server: &str) -> GrantRequest {
    request(server, GrantAccess::Read)
}

pub fn write(server: &str) -> GrantRequest {
    request(server, GrantAccess::Write)
}

/// Encodes a simple query as one message.
pub fn query(sql: &str) -> Bytes {
    let mut buffer = BytesMut::new();
    frontend::query(sql, &mut buffer).unwrap();
    buffer.freeze()
}

/// Encodes Parse, Bind, Execute and Sync of a named prepared statement.
pub fn batch(name: &str, sql: &str) -> Bytes {
    let mut buffer = BytesMut::new();
    frontend::parse(name, sql, [], &mut buffer).unwrap();
    bind_execute(name, &mut buffer);
    frontend::sync(&mut buffer);
    buffer.freeze()
}

pub fn bind_execute(name: &str, buffer: &mut BytesMut) {
    let bound = frontend::bind("", name, [], [(); 0], |(), _| unreachable!(), [], buffer);
    assert!(bound.is_ok(), "bind");
    frontend::execute("", 0, buffer).unwrap();
}

/// Result of a statement in a grant.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Ready { tags: String, status: TransactionStatus, position: Option<LogPosition> },
    Refused(FailureKind),
    Lost(FailureKind),
    Closed,
}

impl Outcome {
    /// Returns the tags of the backend messages; panics if the statement got no answer.
    pub fn tags(&self) -> &str {
        match self {
            Self::Ready { tags, .. } => tags,
            other => panic!("no answer: {other:?}"),
        }
    }
}

pub async fn send(link: &GrantLink, input: LinkInput) {
    link.input.send(input).await.expect("the grant is open");
}

/// Reads until the answer or the grant ends; skips `Granted`.
pub async fn outcome(link: &mut GrantLink) -> Outcome {
    let mut tags = String::new();
    loop {
        match link.output.recv().await {
            Some(LinkOutput::Granted { .. }) => {}
            Some(LinkOutput::Data(data)) => {
                let mut rest = &data[..];
                while let Some((&tag, tail)) = rest.split_first() {
                    tags.push(char::from(tag));
                    let length = u32::from_be_bytes(tail[..4].try_into().unwrap()) as usize;
                    rest = &tail[length..];
                }
            }
            Some(LinkOutput::Ready { status, position }) => {
                return Outcome::Ready { tags, status, position };
            }
            Some(LinkOutput::Refused(failure)) => return Outcome::Refused(failure.kind),
            Some(LinkOutput::Lost(failure)) => return Outcome::Lost(failure.kind),
            None => return Outcome::Closed,
        }
    }
}

/// Runs one simple query within an open grant.
pub async fn run_query(link: &mut GrantLink, sql: &str) -> Outcome {
    // Sending fails if the grant was refused; the refusal is then read as the outcome.
    let _ = link.input.send(LinkInput::Data(query(sql))).await;
    outcome(link).await
}

/// Runs one simple query in a grant of its own.
pub async fn query_once(handle: &BrokerHandle, request: GrantRequest, sql: &str) -> Outcome {
    let mut link = handle.open(request);
    let outcome = run_query(&mut link, sql).await;
    let _ = link.input.send(LinkInput::Release).await;
    outcome
}

pub fn shared_name(text: &str) -> SharedName {
    text.into()
}
