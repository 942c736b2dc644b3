//! A control replica on loopback with a client.

#![allow(dead_code, clippy::unwrap_used)]

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::time::Duration,
    tonic::transport::Channel,
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
        draining: false,
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
    for _ in 0..600 {
        if let Some(value) = step().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen");
}
