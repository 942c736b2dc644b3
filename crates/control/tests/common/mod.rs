//! A control replica on loopback with a client.

#![allow(dead_code, clippy::unwrap_used)]

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{net::SocketAddr, time::Duration},
    tempfile::NamedTempFile,
    tonic::{Request, transport::Channel},
};

pub const SHEET: &str = "database,application,kind,access,targets,max_age_ms,ack,repeatable,\
priority,deadline_ms,max_concurrent\n*,*,read,read,any,1000,primary,yes,4,2000,\n";

pub fn settings() -> ControlSettings {
    ControlSettings {
        host: "control-1".into(),
        region: "gulf".into(),
        zone: "gulf-a".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        address: None,
        http: ([127, 0, 0, 1], 0).into(),
        data: None,
        replicas: Vec::new(),
        join: false,
        snapshot_entries: banyansill_control::replica::SNAPSHOT_ENTRIES,
        tokens: None,
        log: "off".to_owned(),
        log_folder: None,
        statsd: None,
    }
}

pub async fn start() -> (ControlHandle, ControlClient<Channel>) {
    let handle = banyansill_control::spawn(settings()).await.unwrap();
    let client = ControlClient::connect(format!("http://{}", handle.address())).await.unwrap();
    (handle, client)
}

pub fn entry(host: &str, incarnation: u64) -> v1::EntryInfo {
    v1::EntryInfo {
        host: host.to_owned(),
        address: "127.0.0.1:7100".to_owned(),
        caller_address: "127.0.0.1:7101".to_owned(),
        region: "gulf".to_owned(),
        zone: "gulf-a".to_owned(),
        incarnation,
        ..v1::EntryInfo::default()
    }
}

pub fn announcement(server: &str, port: u16, role: v1::Role) -> v1::Announcement {
    v1::Announcement {
        database: "repairs-1".to_owned(),
        server: server.to_owned(),
        address: format!("127.0.0.1:{port}"),
        replication_address: format!("127.0.0.1:{}", port + 1),
        region: "gulf".to_owned(),
        zone: "gulf-a".to_owned(),
        role: role.into(),
        position: Some(v1::Position { term: 1, offset: 5 }),
        slots: 3,
        connections: 90,
        leaving: false,
        incarnation: 1,
        term: 1,
    }
}

/// An entry as control sees it: applies the latest version and sheet at once.
pub struct FakeEntry {
    pub info: v1::EntryInfo,
    pub applied_version: u64,
    pub sheet_number: u64,
    pub reports: Vec<v1::TargetReport>,
}

impl FakeEntry {
    pub const fn new(info: v1::EntryInfo) -> Self {
        Self { info, applied_version: 0, sheet_number: 0, reports: Vec::new() }
    }

    pub async fn beat(&mut self, client: &mut ControlClient<Channel>) -> v1::HeartbeatReply {
        let request = v1::HeartbeatRequest {
            entry: Some(self.info.clone()),
            sequence: 1,
            applied_version: self.applied_version,
            sheet_number: self.sheet_number,
            reports: self.reports.clone(),
            stamp: None,
        };
        let reply = client.heartbeat(request).await.unwrap().into_inner();
        self.applied_version = reply.version;
        self.sheet_number = reply.sheet_number;
        reply
    }
}

/// Repeats a step until it returns a value; the limit only ends a test that would never pass.
pub async fn eventually<T, F>(what: &str, mut step: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    for _ in 0..2_400 {
        if let Some(value) = step().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen");
}

/// Sends one HTTP request and returns the status code and the body.
pub fn http(address: std::net::SocketAddr, head: &str, body: &[u8]) -> (u16, String) {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let length = body.len();
    let (line, headers) = head.split_once('\n').unwrap_or((head, ""));
    let request = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    // A server that refuses a large body may close before it has read all of it.
    let _ = stream.write_all(body);
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    let reply = String::from_utf8_lossy(&reply).into_owned();
    let status = reply.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body = reply.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    (status, body)
}

pub const ADA: &str = "0123456789abcdef";
pub const BO: &str = "1123456789abcdef";
pub const CY: &str = "2123456789abcdef";

pub struct Deployment {
    pub handle: ControlHandle,
    _tokens: NamedTempFile,
}

impl Deployment {
    /// Starts a control replica with an operator with all rights and two scoped ones.
    pub async fn start() -> Self {
        Self::start_on(None).await
    }

    /// Starts it on a data folder.
    pub async fn start_on(data: Option<std::path::PathBuf>) -> Self {
        let file = NamedTempFile::new().unwrap();
        let lines = format!(
            "ada {ADA}\nbo {BO} databases=repairs-1\ncy {CY} databases=repairs-2 applications=till\n"
        );
        std::fs::write(file.path(), lines).unwrap();
        let mut settings = settings();
        settings.tokens = Some(file.path().to_owned());
        settings.data = data;
        let handle = banyansill_control::spawn(settings).await.unwrap();
        let deployment = Self { handle, _tokens: file };
        let mut client = deployment.client().await;
        for (database, port) in [("repairs-1", 7300), ("repairs-2", 7310)] {
            let mut announced = announcement("a", port, v1::Role::Primary);
            announced.database = database.to_owned();
            let request = v1::AnnounceRequest {
                announcement: Some(announced),
                forwarded: false,
                more: Vec::new(),
            };
            eventually("a recorded target", async || client.announce(request.clone()).await.ok())
                .await;
        }
        deployment
    }

    pub async fn client(&self) -> ControlClient<Channel> {
        ControlClient::connect(format!("http://{}", self.handle.address())).await.unwrap()
    }

    pub async fn ask(&self, line: &str, token: &str, body: &str) -> (u16, String) {
        let address: SocketAddr = self.handle.http_address();
        let head = format!("{line}\nAuthorization: Bearer {token}\r\n");
        let body = body.to_owned();
        tokio::task::spawn_blocking(move || http(address, &head, body.as_bytes())).await.unwrap()
    }

    pub async fn json(&self, line: &str, token: &str) -> serde_json::Value {
        serde_json::from_str(&self.ask(line, token, "").await.1).unwrap()
    }
}

pub fn signed<T>(message: T, token: &str) -> Request<T> {
    let mut request = Request::new(message);
    request.metadata_mut().insert("authorization", format!("Bearer {token}").parse().unwrap());
    request
}

pub fn sheet(rows: &[(&str, &str, u32)]) -> String {
    let mut text = SHEET.to_owned();
    for (database, application, deadline) in rows {
        text += &format!("{database},{application},read,read,any,1000,primary,yes,4,{deadline},\n");
    }
    text
}
