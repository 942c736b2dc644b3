//! Scripted brokers and a session server in front of them.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a helper of tests fails the test")]

mod raw_caller;

pub use raw_caller::RawCaller;

use {
    banyansill_core::{
        failure::FailureKind,
        names::SharedName,
        position::{LogPosition, LogTerm},
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute},
        sheet::RuleSheet,
        time::Micros,
    },
    banyansill_entry::{
        lease::NodeLease,
        link::{
            GrantLink, GrantPeer, GrantRequest, GrantRouter, LinkFailure, LinkInput, LinkOutput,
            TransactionStatus, pair,
        },
        session::{CallerHandle, CallerServer, CallerSettings, response},
    },
    banyansill_runtime::{clock::MonotonicClock, events::EventSink, metrics},
    bytes::{BufMut, Bytes, BytesMut},
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::sync::watch,
};

/// Database that the routes know.
pub const DATABASE: &str = "orders";

/// What a scripted broker does with its next grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Refuses the grant with this failure.
    Refuse(FailureKind),
    /// Loses the connection instead of answering.
    Lose(FailureKind),
    /// Sends a row and then loses the connection.
    LoseAfterRow(FailureKind),
    /// Never answers.
    Silent,
    /// Answers the first statement and loses the second.
    LoseSecond(FailureKind),
    /// Answers the first statement and then loses the connection.
    LoseIdle(FailureKind),
    /// Sends this many rows of 1 KiB.
    Rows(usize),
}

/// Input that a scripted broker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Protocol message: type byte and text of its body.
    Message(char, String),
    Taint,
    Cancel,
    Release,
    /// The session dropped the link without a release.
    Dropped,
}

/// Request of one grant and the input that its broker received.
#[derive(Clone, Debug)]
pub struct GrantRecord {
    pub request: GrantRequest,
    pub received: Vec<Received>,
}

#[derive(Debug, Default)]
pub struct FakeState {
    pub acts: HashMap<String, VecDeque<Act>>,
    pub grants: Vec<GrantRecord>,
    pub positions: HashMap<String, LogPosition>,
    pub mark: Option<LogPosition>,
    pub mark_requests: usize,
    pub rows_sent: usize,
}

/// Router whose brokers follow a script.
#[derive(Clone, Debug, Default)]
pub struct FakeRouter(pub Arc<Mutex<FakeState>>);

impl FakeRouter {
    pub fn act(&self, server: &str, act: Act) {
        self.0.lock().unwrap().acts.entry(server.to_owned()).or_default().push_back(act);
    }

    pub fn set_position(&self, server: &str, term: u64, offset: u64) {
        let position = LogPosition::new(term, offset);
        self.0.lock().unwrap().positions.insert(server.to_owned(), position);
    }

    pub fn set_mark(&self, term: u64, offset: u64) {
        self.0.lock().unwrap().mark = Some(LogPosition::new(term, offset));
    }

    pub fn grants(&self) -> Vec<GrantRecord> {
        self.0.lock().unwrap().grants.clone()
    }

    /// Returns the servers of all grants in the order of opening.
    pub fn servers(&self) -> Vec<String> {
        self.grants().iter().map(|grant| grant.request.server.to_string()).collect()
    }

    /// Waits until the records meet a condition, for at most 500 polls of 5 ms.
    pub async fn wait_for(&self, condition: impl Fn(&[GrantRecord]) -> bool) {
        for _ in 0..500 {
            if condition(&self.grants()) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        panic!("condition not met: {:#?}", self.grants());
    }
}

impl GrantRouter for FakeRouter {
    fn open(&self, request: GrantRequest) -> GrantLink {
        let (link, peer) = pair(request.clone());
        let mut state = self.0.lock().unwrap();
        let act = state.acts.get_mut(request.server.as_str()).and_then(VecDeque::pop_front);
        state.grants.push(GrantRecord { request, received: Vec::new() });
        let index = state.grants.len() - 1;
        drop(state);
        let broker =
            FakeBroker { router: self.clone(), index, peer, act, open: false, skip: false };
        HANDLE.with(|handle| handle.spawn(broker.run()));
        link
    }

    async fn high_water_mark(&self, _: &SharedName) -> Result<LogPosition, FailureKind> {
        let mut state = self.0.lock().unwrap();
        state.mark_requests += 1;
        state.mark.ok_or(FailureKind::Unreachable)
    }
}

thread_local! {
    /// Runtime of the brokers; each worker thread of the server has its own, with one thread.
    static HANDLE: tokio::runtime::Handle = {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let handle = runtime.handle().clone();
        std::mem::forget(runtime);
        handle
    };
}

struct FakeBroker {
    router: FakeRouter,
    index: usize,
    peer: GrantPeer,
    act: Option<Act>,
    open: bool,
    skip: bool,
}

impl FakeBroker {
    async fn run(mut self) {
        match self.act.clone() {
            Some(Act::Refuse(kind)) => {
                let _ = self.peer.output.send(LinkOutput::Refused(failure(kind))).await;
                return;
            }
            _ => {
                let granted = LinkOutput::Granted { waited: Micros::ZERO };
                let _ = self.peer.output.send(granted).await;
            }
        }
        loop {
            let Some(input) = self.peer.input.recv().await else {
                self.record(Received::Dropped);
                return;
            };
            match input {
                LinkInput::Data(data) => {
                    if !self.serve(data).await {
                        return;
                    }
                }
                LinkInput::Taint => self.record(Received::Taint),
                LinkInput::Cancel => {
                    self.record(Received::Cancel);
                    let mut buffer = BytesMut::new();
                    let severity = response::ErrorSeverity::Error;
                    response::error(&mut buffer, severity, "57014", "canceled", "", "");
                    self.send(buffer).await;
                    self.ready().await;
                }
                LinkInput::Release => {
                    self.record(Received::Release);
                    return;
                }
            }
        }
    }

    fn record(&self, received: Received) {
        self.router.0.lock().unwrap().grants[self.index].received.push(received);
    }

    async fn send(&self, buffer: BytesMut) {
        let _ = self.peer.output.send(LinkOutput::Data(buffer.freeze())).await;
    }

    async fn ready(&self) {
        let server = self.peer.request.server.to_string();
        let position = self.router.0.lock().unwrap().positions.get(&server).copied();
        let status =
            if self.open { TransactionStatus::InTransaction } else { TransactionStatus::Idle };
        let _ = self.peer.output.send(LinkOutput::Ready { status, position }).await;
    }

    /// Answers whole messages; returns whether the grant remains open.
    async fn serve(&mut self, data: Bytes) -> bool {
        let mut rest = &data[..];
        while !rest.is_empty() {
            let size =
                1 + usize::try_from(i32::from_be_bytes(rest[1..5].try_into().unwrap())).unwrap();
            let tag = rest[0];
            let body = rest[5..size].to_vec();
            rest = &rest[size..];
            let text = String::from_utf8_lossy(&body).replace('\0', " ").trim().to_owned();
            self.record(Received::Message(tag as char, text.clone()));
            let begins = text.to_ascii_uppercase().starts_with("BEGIN");
            match self.act.clone() {
                Some(Act::Lose(kind)) if !begins => {
                    let _ = self.peer.output.send(LinkOutput::Lost(failure(kind))).await;
                    return false;
                }
                Some(Act::LoseAfterRow(kind)) => {
                    let mut buffer = BytesMut::new();
                    rows(&mut buffer, "row", 1);
                    self.send(buffer).await;
                    let _ = self.peer.output.send(LinkOutput::Lost(failure(kind))).await;
                    return false;
                }
                Some(Act::LoseSecond(kind)) if !begins => self.act = Some(Act::Lose(kind)),
                Some(Act::Silent) if !begins => continue,
                _ => {}
            }
            self.answer(tag, &text).await;
            if let Some(Act::LoseIdle(kind)) = self.act.clone()
                && !begins
            {
                let _ = self.peer.output.send(LinkOutput::Lost(failure(kind))).await;
                return false;
            }
        }
        true
    }

    async fn answer(&mut self, tag: u8, text: &str) {
        if self.skip && tag != b'S' {
            return;
        }
        let mut buffer = BytesMut::new();
        let server = self.peer.request.server.to_string();
        match tag {
            b'Q' => {
                self.run_statement(&mut buffer, text, &server).await;
                self.send(buffer).await;
                if !text.to_ascii_uppercase().starts_with("COPY") {
                    self.ready().await;
                }
                return;
            }
            b'P' => response::empty_message(&mut buffer, b'1'),
            b'B' => response::empty_message(&mut buffer, b'2'),
            b'C' => response::empty_message(&mut buffer, b'3'),
            b'D' => {
                response::message(&mut buffer, b't', |buffer| buffer.put_i16(0));
                description(&mut buffer);
            }
            b'E' => {
                rows(&mut buffer, &server, 1);
                response::command_complete(&mut buffer, "SELECT 1");
            }
            b'S' => {
                self.skip = false;
                self.ready().await;
                return;
            }
            b'c' => {
                response::command_complete(&mut buffer, "COPY 1");
                self.send(buffer).await;
                self.ready().await;
                return;
            }
            _ => return,
        }
        self.send(buffer).await;
    }

    async fn run_statement(&mut self, buffer: &mut BytesMut, text: &str, server: &str) {
        let upper = text.to_ascii_uppercase();
        if upper.starts_with("BEGIN") || upper.starts_with("START") {
            self.open = true;
            response::command_complete(buffer, "BEGIN");
        } else if upper.starts_with("COMMIT") || upper.starts_with("ROLLBACK") {
            self.open = false;
            response::command_complete(buffer, &upper);
        } else if upper.starts_with("COPY") {
            response::message(buffer, b'G', |buffer| buffer.put_slice(&[0, 0, 0]));
        } else if upper.contains("FAIL") {
            let severity = response::ErrorSeverity::Error;
            response::error(buffer, severity, "42601", "syntax error", "", "");
        } else if upper.contains("SELECT") {
            description(buffer);
            if let Some(Act::Rows(count)) = self.act {
                let wide = "x".repeat(1_024);
                for _ in 0..count {
                    let mut chunk = std::mem::take(buffer);
                    rows(&mut chunk, &wide, 1);
                    self.send(chunk).await;
                    self.router.0.lock().unwrap().rows_sent += 1;
                }
            } else if text.contains("echo") {
                rows(buffer, text, 1);
            } else {
                rows(buffer, server, 1);
            }
            response::command_complete(buffer, "SELECT 1");
        } else {
            response::command_complete(buffer, "INSERT 0 1");
        }
    }
}

const fn failure(kind: FailureKind) -> LinkFailure {
    LinkFailure { kind, retry_after: Micros::ZERO, detail: String::new() }
}

fn description(buffer: &mut BytesMut) {
    response::message(buffer, b'T', |buffer| {
        buffer.put_i16(1);
        response::c_string(buffer, "server");
        buffer.put_i32(0);
        buffer.put_i16(0);
        buffer.put_i32(25);
        buffer.put_i16(-1);
        buffer.put_i32(-1);
        buffer.put_i16(0);
    });
}

fn rows(buffer: &mut BytesMut, value: &str, count: usize) {
    for _ in 0..count {
        response::message(buffer, b'D', |buffer| {
            buffer.put_i16(1);
            buffer.put_i32(i32::try_from(value.len()).unwrap());
            buffer.put_slice(value.as_bytes());
        });
    }
}

/// Sheet of most tests.
pub const SHEET: &str = "\
database,application,kind,access,targets,max_age_ms,ack,repeatable,priority,deadline_ms,max_concurrent
*,*,read,read,any,1000,primary,yes,4,2000,
*,*,write,write,primary,,primary,no,3,2000,
*,*,order,write,primary,,replica,no,1,2000,
*,*,once,read,any,1000,primary,no,1,2000,
*,*,brief,read,any,1000,primary,yes,1,100,
*,*,stock,read,replica,1000,primary,yes,1,2000,
";

/// Returns a target with the given name, role, region and zone.
pub fn target(server: &str, role: TargetRole, region: &str, zone: &str) -> TargetRoute {
    TargetRoute {
        server: server.into(),
        address: "127.0.0.1:1".into(),
        replication_address: "127.0.0.1:2".into(),
        region: region.into(),
        zone: zone.into(),
        role,
        broker: "host-1".into(),
        broker_address: "127.0.0.1:3".into(),
        epoch: 7,
        slots: 5,
        connections: 70,
        live: true,
        draining: false,
    }
}

/// Returns routes with the primary `p` and the replicas `near` and `far`.
pub fn routes() -> RouteTable {
    let route = DatabaseRoute {
        term: LogTerm(3),
        primary: Some("p".into()),
        closed: false,
        planned: false,
        candidate: None,
        candidate_term: LogTerm(0),
        history: Vec::new(),
        targets: vec![
            target("far", TargetRole::Replica, "r2", "z2"),
            target("near", TargetRole::Replica, "r1", "z1"),
            target("p", TargetRole::Primary, "r1", "z1"),
        ],
    };
    let mut table = RouteTable {
        version: 1,
        sheet: Some(Arc::new(RuleSheet::parse(SHEET.as_bytes()).unwrap())),
        ..RouteTable::default()
    };
    table.databases.insert(DATABASE.into(), Arc::new(route));
    table
}

/// Running session server with scripted brokers.
pub struct Bench {
    pub router: FakeRouter,
    pub handle: CallerHandle,
    pub lease: NodeLease,
    pub routes: watch::Sender<Arc<RouteTable>>,
}

impl Bench {
    pub async fn open() -> Self {
        Self::open_with(|_| {}).await
    }

    pub async fn open_with(change: impl FnOnce(&mut CallerSettings)) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = CallerSettings::new(listen, "r1".into(), "z1".into());
        settings.workers = 1;
        change(&mut settings);
        let lease = NodeLease::new(MonotonicClock::start());
        lease.extend(Micros::from_secs(3_600));
        let (sender, receiver) = watch::channel(Arc::new(routes()));
        let router = FakeRouter::default();
        router.set_mark(3, 100);
        let handle = CallerServer::bind(
            settings,
            router.clone(),
            receiver,
            lease.clone(),
            EventSink::new("host-1".into()),
            metrics::open(None).unwrap(),
        )
        .await
        .unwrap();
        Self { router, handle, lease, routes: sender }
    }

    /// Connects with `tokio-postgres`.
    pub async fn connect(&self) -> tokio_postgres::Client {
        let (client, connection) = self
            .config()
            .connect(tokio_postgres::NoTls)
            .await
            .expect("the session server accepts callers");
        tokio::spawn(async move {
            let _ = connection.await;
        });
        client
    }

    pub fn config(&self) -> tokio_postgres::Config {
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(self.handle.address().port())
            .user("depot")
            .dbname(DATABASE)
            .application_name("depot");
        config
    }

    /// Connects with a plain socket and completes the start-up.
    pub async fn raw(&self) -> RawCaller {
        let mut caller = RawCaller::open(self.handle.address()).await;
        caller.start().await;
        caller
    }
}

/// Starts a second server with the same brokers and another lease.
pub async fn bind_with_lease(bench: &Bench, lease: NodeLease) -> CallerHandle {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = CallerSettings::new(listen, "r1".into(), "z1".into());
    settings.workers = 1;
    CallerServer::bind(
        settings,
        bench.router.clone(),
        bench.routes.subscribe(),
        lease,
        EventSink::new("host-2".into()),
        metrics::open(None).unwrap(),
    )
    .await
    .unwrap()
}

/// Returns each message as its type byte and the printable ASCII text of its body.
pub fn show(messages: &[(char, Vec<u8>)]) -> Vec<String> {
    let mut lines = Vec::new();
    for (tag, body) in messages {
        let mut text = String::new();
        for byte in body {
            if byte.is_ascii_graphic() || *byte == b' ' {
                text.push(*byte as char);
            }
        }
        lines.push(format!("{tag}{text}"));
    }
    lines
}

/// Returns the texts of the messages that the broker of a grant received.
pub fn texts(grant: &GrantRecord) -> Vec<String> {
    let mut texts = Vec::new();
    for received in &grant.received {
        if let Received::Message(_, text) = received {
            texts.push(text.clone());
        }
    }
    texts
}
