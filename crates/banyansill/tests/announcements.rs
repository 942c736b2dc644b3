//! Announcements of targets to their broker, with all parts in this process.

#![allow(clippy::unwrap_used)]

use {
    banyansill_control::{ControlHandle, settings::ControlSettings},
    banyansill_entry::{EntryHandle, session::CallerSettings, settings::EntrySettings},
    banyansill_standin::{
        ServerHandle,
        settings::{StandinSettings, StartRole},
    },
    banyansill_testkit::proxy::FaultProxy,
    banyansill_wire::v1::{self, control_client::ControlClient},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const DATABASE: &str = "repairs";

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct TestSystem {
    control: ControlHandle,
    entry: EntryHandle,
    servers: Vec<ServerHandle>,
    /// The way from the targets to control.
    announcements: FaultProxy,
}

/// Starts one control, one entry and three targets, and waits until the targets had time to move their
/// announcements to the entry.
async fn start() -> TestSystem {
    let control = ControlSettings {
        host: "control-1".into(),
        region: "gulf".into(),
        zone: "gulf-a".into(),
        listen: ANY_PORT,
        address: None,
        http: ANY_PORT,
        data: None,
        replicas: Vec::new(),
        join: false,
        snapshot_entries: banyansill_control::replica::SNAPSHOT_ENTRIES,
        tokens: None,
        log: "warn".to_owned(),
        log_folder: None,
        statsd: None,
    };
    let control = banyansill_control::spawn(control).await.unwrap();
    let announcements = FaultProxy::bind(control.http_address()).await.unwrap();
    let mut servers = Vec::new();
    let mut role = StartRole::Primary;
    for server in ["server-1", "server-2", "server-3"] {
        let mut settings = StandinSettings::loopback(DATABASE, server, role);
        settings.control = vec![announcements.address()];
        settings.leave_ms = 5_000;
        let handle = banyansill_standin::spawn(settings).await.unwrap();
        if servers.is_empty() {
            role = StartRole::Replica(Some(handle.replication_address()));
        }
        servers.push(handle);
    }
    let entry = EntrySettings {
        host: "entry-1".into(),
        region: "gulf".into(),
        zone: "gulf-a".into(),
        callers: CallerSettings::new(ANY_PORT, "gulf".into(), "gulf-a".into()),
        peer_listen: ANY_PORT,
        peer_address: None,
        admin_listen: ANY_PORT,
        control: vec![control.address()],
        target_user: "banyansill".to_owned(),
        tokens: None,
        drain_timeout: Duration::from_millis(100),
        statsd: None,
        log_levels: "warn".to_owned(),
        log_directory: None,
    };
    let entry = banyansill_entry::spawn(entry).await.unwrap();
    let system = TestSystem { control, entry, servers, announcements };
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let view = system.group().await;
        let assigned = view.as_ref().is_some_and(|view| {
            view.term > 0
                && view.servers.len() == 3
                && view.servers.iter().all(|server| !server.broker.is_empty())
        });
        if assigned {
            break;
        }
        assert!(Instant::now() < end, "no brokers: {view:?}");
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(2)).await;
    system
}

impl TestSystem {
    async fn group(&self) -> Option<v1::DatabaseView> {
        let url = format!("http://{}", self.control.address());
        let mut client = ControlClient::connect(url).await.unwrap();
        let reply = client.status(v1::StatusRequest::default()).await.unwrap().into_inner();
        reply.databases.into_iter().find(|view| view.database == DATABASE)
    }
}

fn name(server: &v1::ServerView) -> &str {
    server.announcement.as_ref().map_or("", |announcement| &announcement.server)
}

/// Guards against targets that depend on control although their broker hears them: a leaving target must
/// reach control through its broker, and nothing else may change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broker_passes_announcements_on() {
    let mut system = start().await;
    let before = system.group().await.unwrap();
    system.announcements.partition();
    sleep(Duration::from_secs(5)).await;
    let view = system.group().await.unwrap();
    assert_eq!((view.term, &view.primary), (before.term, &before.primary));
    assert!(view.servers.iter().all(|server| server.live && !server.draining), "{view:?}");
    let leaving = system.servers.pop().unwrap();
    let begin = Instant::now();
    let stopping = tokio::spawn(leaving.stop());
    loop {
        let view = system.group().await.unwrap();
        let server = view.servers.iter().find(|server| name(server) == "server-3").unwrap();
        if server.draining {
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(3), "{server:?}");
        sleep(Duration::from_millis(20)).await;
    }
    stopping.abort();
    drop(system.entry);
    system.control.stop().await;
}

/// Guards against targets that are given up with their broker: after its end control must hear from them
/// within the second that announcements may be missing, so that no term is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_return_to_control_when_the_broker_ends() {
    let system = start().await;
    let before = system.group().await.unwrap();
    let TestSystem { control, entry, servers, announcements } = system;
    entry.stop().await;
    let url = format!("http://{}", control.address());
    let mut client = ControlClient::connect(url).await.unwrap();
    let begin = Instant::now();
    // Without any sign of them, the targets would count as dead after 3 s.
    while begin.elapsed() < Duration::from_secs(6) {
        let reply = client.status(v1::StatusRequest::default()).await.unwrap().into_inner();
        let view = reply.databases.into_iter().find(|view| view.database == DATABASE).unwrap();
        assert!(!view.closed && view.term == before.term, "{view:?}");
        assert!(view.servers.iter().all(|server| server.live), "{view:?}");
        sleep(Duration::from_millis(100)).await;
    }
    drop((servers, announcements));
    control.stop().await;
}
