//! Health checks, events and status over HTTP, and the settings file.

mod support;

use {
    banyansill_core::{event::EventNumber, route::RouteTable},
    banyansill_entry::{
        admin::{AdminServer, AdminSources, ErrorBody, ROUTES},
        announcements::AnnouncementRegistry,
        lease::NodeLease,
        settings::EntrySettings,
    },
    banyansill_runtime::{clock::MonotonicClock, settings, tokens::AccessPolicy},
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
    support::Bench,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// Sends a GET request and returns the status code and the body.
async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    get_as(address, path, "").await
}

/// Sends a GET request with a token.
async fn get_as(address: SocketAddr, path: &str, token: &str) -> (u16, String) {
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("a listener");
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\nconnection: close\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).await.expect("an open connection");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
    (code, body.to_owned())
}

fn announcement_registry(bench: &Bench, lease: &NodeLease) -> AnnouncementRegistry {
    let clock = MonotonicClock::start();
    AnnouncementRegistry::new("host-1".into(), clock, lease.clone(), bench.routes.subscribe())
}

// Guards against an entry that reports itself as ready although it refuses all requests.
#[tokio::test]
async fn readiness_follows_lease_sheet_and_drain() {
    let bench = Bench::open().await;
    let lease = NodeLease::new(MonotonicClock::start());
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let sources = AdminSources {
        host: "host-1".into(),
        announcements: announcement_registry(&bench, &lease),
        lease: lease.clone(),
        routes: bench.routes.subscribe(),
        events: bench.handle.events().clone(),
        registry: bench.handle.registry().clone(),
        counters: bench.handle.counters().clone(),
        access: AccessPolicy::default(),
    };
    let admin = AdminServer::bind(listen, sources).await.unwrap();
    let address = admin.address();
    assert_eq!(get(address, "/healthz").await.0, 200);
    assert_eq!(get(address, "/readyz").await, (503, "no-lease\n".to_owned()));
    lease.extend(banyansill_core::time::Micros::from_secs(3_600));
    assert_eq!(get(address, "/readyz").await.0, 200);
    let table = bench.routes.borrow().clone();
    bench.routes.send_replace(Arc::new(RouteTable { sheet: None, ..(*table).clone() }));
    assert_eq!(get(address, "/readyz").await, (503, "no-sheet\n".to_owned()));
    bench.routes.send_replace(table);
    bench.handle.drain(Duration::from_secs(1)).await;
    assert_eq!(get(address, "/readyz").await, (503, "draining\n".to_owned()));
    admin.stop().await;
}

// Guards against an event list with missing or repeated events, and a status that is not valid JSON.
#[tokio::test]
async fn events_and_status_are_json() {
    let bench = Bench::open().await;
    let events = bench.handle.events().clone();
    events.record(EventNumber::LeaseGained, &[]);
    events.record(EventNumber::SheetApplied, &[("number", "7".to_owned())]);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let sources = AdminSources {
        host: "host-1".into(),
        announcements: announcement_registry(&bench, &bench.lease),
        lease: bench.lease.clone(),
        routes: bench.routes.subscribe(),
        events,
        registry: bench.handle.registry().clone(),
        counters: bench.handle.counters().clone(),
        access: AccessPolicy::default(),
    };
    let admin = AdminServer::bind(listen, sources).await.unwrap();
    let _caller = bench.raw().await;
    let (_, body) = get(admin.address(), "/v1/events").await;
    let list: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(list[1]["fields"]["number"], "7");
    let last = list[1]["stamp"]["millis"].as_u64().unwrap();
    let (_, body) = get(admin.address(), &format!("/v1/events?since_ms={last}")).await;
    assert!(body.contains("sheet applied"), "{body}");
    let (_, body) = get(admin.address(), &format!("/v1/events?since_ms={}", last + 1)).await;
    assert_eq!(body, "[]");
    let (_, body) = get(admin.address(), "/v1/status").await;
    let status: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status["callers"], 1);
    assert_eq!(status["databases"]["orders"]["primary"], "p");
    assert_eq!(get(admin.address(), "/v1/events?since_ms=x").await.0, 400);
    admin.stop().await;
}

// Guards against a status or an event list that shows a team the databases of another, and against
// error replies without a kind.
#[tokio::test]
async fn readers_see_their_own_databases() {
    let bench = Bench::open().await;
    let events = bench.handle.events().clone();
    let field = |name: &str| [("database", name.to_owned()), ("server", "p".to_owned())];
    events.record(EventNumber::BrokerOpened, &field("orders"));
    events.record(EventNumber::BrokerOpened, &field("other"));
    events.record(EventNumber::LeaseGained, &[]);
    let tokens = tempfile::NamedTempFile::new().unwrap();
    let lines = "ada 0123456789abcdef\nbo 1123456789abcdef databases=orders\n\
                 cy 2123456789abcdef databases=other\n";
    std::fs::write(tokens.path(), lines).unwrap();
    let sources = AdminSources {
        host: "host-1".into(),
        lease: bench.lease.clone(),
        routes: bench.routes.subscribe(),
        events,
        registry: bench.handle.registry().clone(),
        counters: bench.handle.counters().clone(),
        access: AccessPolicy::load(Some(tokens.path())).unwrap(),
        announcements: announcement_registry(&bench, &bench.lease),
    };
    let admin = AdminServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)), sources).await.unwrap();
    let visible = async |token: &str| {
        let (_, events) = get_as(admin.address(), "/v1/events", token).await;
        let events: Vec<serde_json::Value> = serde_json::from_str(&events).unwrap();
        let (_, status) = get_as(admin.address(), "/v1/status", token).await;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        (events.len(), status["databases"].get("orders").is_some())
    };
    assert_eq!(visible("0123456789abcdef").await, (3, true));
    assert_eq!(visible("1123456789abcdef").await, (1, true));
    assert_eq!(visible("2123456789abcdef").await, (1, false));
    let kind = |body: String| serde_json::from_str::<ErrorBody>(&body).unwrap().error;
    for path in ["/v1/events", "/v1/status"] {
        let (code, body) = get_as(admin.address(), path, "3123456789abcdef").await;
        assert_eq!((code, kind(body).as_str()), (401, "unauthorized"));
    }
    let (code, body) = get_as(admin.address(), "/v1/events?x=1", "0123456789abcdef").await;
    assert_eq!((code, kind(body).as_str()), (400, "invalid"));
    let (code, body) = get(admin.address(), "/v1/nothing").await;
    assert_eq!((code, kind(body).as_str()), (404, "not-found"));
    admin.stop().await;
}

// Guards against routes that are missing in `docs/openapi.json`, and against described routes that do not
// exist.
#[test]
fn openapi_describes_every_route() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = std::fs::read_to_string(path).unwrap();
    let document: serde_json::Value = serde_json::from_str(&text).unwrap();
    let mut described = Vec::new();
    for (path, operations) in document["paths"].as_object().unwrap() {
        for (method, operation) in operations.as_object().unwrap() {
            let processes = operation["x-processes"].as_array().unwrap();
            if processes.iter().any(|process| process == "entry") {
                described.push((method.as_str(), path.as_str()));
            }
        }
    }
    described.sort_unstable();
    let mut routes = ROUTES.to_vec();
    routes.sort_unstable();
    assert_eq!(described, routes);
}

// Guards against example settings that the entry rejects.
#[test]
fn example_settings_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (sample, zone) in [("hamper-board", "selkirk-yard"), ("magnolia", "gulf-a")] {
        let path = examples.join(sample).join("entry.jsonc");
        let settings: EntrySettings = settings::load(&path).expect("a valid example");
        assert_eq!(settings.callers.zone.as_str(), zone);
        assert_eq!(settings.control.len(), 3);
    }
}

// Guards against faults in a settings file that are reported one at a time or not at all.
#[test]
fn all_faults_are_reported() {
    let text = r#"{"host": "", "region": "r", "callers": {"listen": "x", "workers": 0, "typo": 1},
        "peer_listen": "0.0.0.0:1", "admin_listen": "127.0.0.1:2", "control": []}"#;
    let report = settings::parse::<EntrySettings>("entry.jsonc", text).expect_err("faults");
    let mut fields: Vec<&str> = report.faults.iter().map(|fault| fault.field.as_str()).collect();
    fields.sort_unstable();
    let expected = [
        "callers.listen",
        "callers.typo",
        "callers.workers",
        "control",
        "host",
        "peer_listen",
        "target_user",
        "zone",
    ];
    assert_eq!(fields, expected);
}
