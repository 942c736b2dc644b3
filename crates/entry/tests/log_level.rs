//! Changes of log levels over HTTP, in a single test since a process has only one logger.

mod support;

use {
    banyansill_entry::{
        admin::{AdminServer, AdminSources, ErrorBody},
        announcements::AnnouncementRegistry,
    },
    banyansill_runtime::{clock::MonotonicClock, logs::LogHandle, tokens::AccessPolicy},
    std::net::SocketAddr,
    support::Bench,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

async fn put(address: SocketAddr, token: &str, body: &str) -> (u16, String) {
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("a listener");
    let length = body.len();
    let request = format!(
        "PUT /v1/log-level HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).await.expect("an open connection");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
    (code, body.to_owned())
}

// Guards against log levels that can be changed without authorization, without an event, or by an invalid
// request.
#[tokio::test]
async fn operators_with_all_rights_change_levels() {
    let bench = Bench::open().await;
    let _logs = LogHandle::open("off", None).unwrap();
    let (ada, bo) = ("0123456789abcdef", "1123456789abcdef");
    let tokens = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(tokens.path(), format!("ada {ada}\nbo {bo} databases=orders\n")).unwrap();
    let mut sources = AdminSources {
        host: "host-1".into(),
        lease: bench.lease.clone(),
        routes: bench.routes.subscribe(),
        events: bench.handle.events().clone(),
        registry: bench.handle.registry().clone(),
        counters: bench.handle.counters().clone(),
        access: AccessPolicy::load(Some(tokens.path())).unwrap(),
        announcements: AnnouncementRegistry::new(
            "host-1".into(),
            MonotonicClock::start(),
            bench.lease.clone(),
            bench.routes.subscribe(),
        ),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let admin = AdminServer::bind(listen, sources.clone()).await.unwrap();
    let levels = r#"{"levels":"error"}"#;
    let large = format!(r#"{{"levels":"{}"}}"#, "x".repeat(8_200));
    for (token, body, code, kind) in [
        ("", levels, 401, "unauthorized"),
        (bo, levels, 403, "forbidden"),
        (ada, "{", 400, "invalid"),
        (ada, r#"{"levels":"loud"}"#, 400, "invalid"),
        (ada, &large, 413, "too-large"),
    ] {
        let (status, reply) = put(admin.address(), token, body).await;
        let parsed: ErrorBody = serde_json::from_str(&reply).unwrap();
        assert_eq!((status, parsed.error.as_str()), (code, kind), "{body}");
    }
    assert!(log::max_level() == log::LevelFilter::Off);
    assert_eq!(put(admin.address(), ada, levels).await, (200, levels.to_owned()));
    assert!(log::max_level() == log::LevelFilter::Error);
    let events = sources.events.since(Default::default());
    assert_eq!(events.iter().filter(|event| event.number == 4).count(), 1);
    // Without a token file no token is valid.
    sources.access = AccessPolicy::default();
    let open = AdminServer::bind(listen, sources).await.unwrap();
    assert_eq!(put(open.address(), ada, levels).await.0, 401);
    open.stop().await;
    admin.stop().await;
}
