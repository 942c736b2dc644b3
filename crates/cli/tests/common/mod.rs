//! A control replica for the command line.

#![allow(dead_code, clippy::unwrap_used)]

use {
    banyansill_cli::CommandOutput,
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{
        io::Write,
        path::{Path, PathBuf},
        time::Duration,
    },
    tempfile::NamedTempFile,
    tokio::runtime::Runtime,
};

pub const HEADER: &str = "database,application,kind,access,targets,max_age_ms,ack,repeatable,\
priority,deadline_ms,max_concurrent\n";
pub const READS: &str = "*,*,read,read,any,1000,primary,yes,4,2000,\n";
pub const WRITES: &str = "*,*,write,write,primary,,replica,no,3,5000,\n";

pub struct Cluster {
    pub runtime: Runtime,
    pub handle: ControlHandle,
}

impl Cluster {
    pub fn start() -> Self {
        Self::start_with(None)
    }

    /// Starts a control replica that admits only the operators of a token file.
    pub fn start_with_tokens(tokens: &Path) -> Self {
        Self::start_with(Some(tokens.to_owned()))
    }

    fn start_with(tokens: Option<PathBuf>) -> Self {
        let runtime = Runtime::new().unwrap();
        let settings = ControlSettings {
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
            tokens,
            log: "off".to_owned(),
            log_folder: None,
            statsd: None,
        };
        let handle = runtime.block_on(banyansill_control::spawn(settings)).unwrap();
        Self { runtime, handle }
    }

    pub fn run(&self, arguments: &[&str]) -> CommandOutput {
        let address = self.handle.address().to_string();
        let mut all = vec!["--control", &address];
        all.extend_from_slice(arguments);
        run(&all)
    }

    /// Prints the output with the parts that differ between runs replaced.
    pub fn show(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let text = format!("{}{}exit code {}", output.text, output.errors, output.code);
        let (address, http) = (self.handle.address(), self.handle.http_address());
        let text = text.replace(&address.to_string(), "CONTROL");
        text.replace(&http.to_string(), "ADMIN")
    }

    /// Keeps an entry, a primary and a replica alive in the background, and waits until both have a
    /// broker.
    pub fn populate(&self) {
        let url = format!("http://{}", self.handle.address());
        let (ready, wait) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            let mut client = ControlClient::connect(url).await.unwrap();
            let (mut version, mut sheet) = (0, 0);
            loop {
                let request = v1::HeartbeatRequest {
                    entry: Some(entry()),
                    applied_version: version,
                    sheet_number: sheet,
                    ..v1::HeartbeatRequest::default()
                };
                let Ok(reply) = client.heartbeat(request).await else { return };
                let reply = reply.into_inner();
                (version, sheet) = (reply.version, reply.sheet_number);
                for (server, port, role) in
                    [("a", 7300, v1::Role::Primary), ("b", 7310, v1::Role::Replica)]
                {
                    let announcement = Some(announcement(server, port, role));
                    let request = v1::AnnounceRequest { announcement, ..Default::default() };
                    // The leader needs a moment after its start.
                    let _ = client.announce(request).await;
                }
                let Ok(reply) = client.status(v1::StatusRequest::default()).await else { return };
                let databases = reply.into_inner().databases;
                let complete = databases.first().is_some_and(|database| {
                    database.term == 1
                        && database.servers.iter().all(|server| !server.broker.is_empty())
                });
                if complete {
                    let _ = ready.send(());
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        wait.recv_timeout(Duration::from_secs(60)).unwrap();
    }
}

pub fn run(arguments: &[&str]) -> CommandOutput {
    banyansill_cli::run(arguments.iter().map(Into::into).collect())
}

pub fn file(content: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(content.as_bytes()).unwrap();
    file
}

fn entry() -> v1::EntryInfo {
    v1::EntryInfo {
        host: "entry-1".to_owned(),
        address: "127.0.0.1:7100".to_owned(),
        caller_address: "127.0.0.1:7101".to_owned(),
        region: "gulf".to_owned(),
        zone: "gulf-a".to_owned(),
        incarnation: 1,
        ..v1::EntryInfo::default()
    }
}

fn announcement(server: &str, port: u16, role: v1::Role) -> v1::Announcement {
    v1::Announcement {
        database: "repairs-1".to_owned(),
        server: server.to_owned(),
        address: format!("127.0.0.1:{port}"),
        region: "gulf".to_owned(),
        zone: "gulf-a".to_owned(),
        role: role.into(),
        position: Some(v1::Position { term: 1, offset: 5 }),
        slots: 3,
        connections: 90,
        incarnation: 1,
        term: 1,
        ..v1::Announcement::default()
    }
}
