//! Settings, announcements and the binary.

mod support;

use {
    banyansill_runtime::settings::parse,
    banyansill_standin::settings::{StandinSettings, StartRole},
    std::{
        net::SocketAddr,
        process::{Command, Output},
        time::{Duration, Instant},
    },
    support::settings,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const GOOD: &str = r#"{
    // First server of the group.
    "database": "hamper", "server": "hamper-1",
    "listen": "127.0.0.1:0", "replication_listen": "127.0.0.1:0",
    "region": "red-river", "zone": "selkirk-yard",
    "role": "replica", "follow": "127.0.0.1:6001", "term": 3,
    "slots": 5, "connections": 70, "connection_cost_ms": 12, "statement_cost_us": 200,
    "lag_ms": 50, "control": ["127.0.0.1:7001"],
}"#;

const BAD: &str = r#"{
    "database": "", "listen": "here", "replication_listen": "127.0.0.1:0",
    "region": "red-river", "zone": "selkirk-yard", "role": "primary",
    "follow": "127.0.0.1:6001", "slots": 0, "control": ["127.0.0.1:7001", 5], "colour": "red"
}"#;

/// Guards against settings that are read wrongly, or faults that are reported one at a time.
#[test]
fn settings_report_every_fault() {
    let settings: StandinSettings = parse("good", GOOD).unwrap();
    assert_eq!(settings.role, StartRole::Replica("127.0.0.1:6001".parse().ok()));
    assert_eq!((settings.term, settings.slots, settings.lag_ms), (3, 5, 50));
    assert_eq!(settings.control, ["127.0.0.1:7001".parse::<SocketAddr>().unwrap()]);
    let report = parse::<StandinSettings>("bad", BAD).unwrap_err();
    let fields: Vec<_> = report.faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected = ["database", "server", "listen", "follow", "slots", "control[1]", "colour"];
    assert_eq!(fields, expected);
}

/// Guards against a binary that accepts bad settings or hides a part of the faults.
#[test]
fn binary_checks_settings() {
    let folder = tempfile::tempdir().unwrap();
    let run = |arguments: &[&str]| -> Output {
        Command::new(env!("CARGO_BIN_EXE_banyansill-standin")).args(arguments).output().unwrap()
    };
    for (text, expected) in [(GOOD, 0), (BAD, 2)] {
        let path = folder.path().join("settings.json");
        std::fs::write(&path, text).unwrap();
        let output = run(&["--config", path.to_str().unwrap(), "--check"]);
        let report = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(expected), "{report}");
        if expected == 2 {
            for field in ["database", "server", "listen", "follow", "slots", "control[1]", "colour"]
            {
                assert!(report.contains(field), "{field} is missing in {report}");
            }
        }
    }
    assert_eq!(run(&["--config", "/missing/file", "--check"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert!(String::from_utf8_lossy(&run(&["--version"]).stdout).contains("0.1.0"));
    assert_eq!(run(&["--help"]).status.code(), Some(0));
}

/// Guards against announcements that miss a field, stop at a dead control address, or do not tell
/// that the server is leaving before it ends.
#[tokio::test]
async fn server_announces_itself_until_it_ends() {
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = settings(StartRole::Primary);
    settings.control = vec![dead.local_addr().unwrap(), control.local_addr().unwrap()];
    settings.leave_ms = 1_200;
    // Nobody here replaces this primary.
    settings.leave_limit_ms = 1_200;
    drop(dead);
    let server = banyansill_standin::spawn(settings).await.unwrap();
    let first = announcement(&control).await;
    let start = Instant::now();
    let second = announcement(&control).await;
    assert!(start.elapsed() >= Duration::from_millis(400), "after {:?}", start.elapsed());
    assert!(start.elapsed() < Duration::from_millis(900), "after {:?}", start.elapsed());
    assert_eq!(first, second);
    assert_eq!(first["address"], server.address().to_string());
    assert_eq!(first["replication_address"], server.replication_address().to_string());
    for (field, expected) in [
        ("database", "\"hamper\""),
        ("server", "\"hamper-1\""),
        ("region", "\"local\""),
        ("zone", "\"local\""),
        ("role", "\"primary\""),
        ("term", "1"),
        ("position", "\"1:1\""),
        ("slots", "5"),
        ("connections", "70"),
        ("leaving", "false"),
    ] {
        assert_eq!(first[field].to_string(), expected, "{field}");
    }
    assert!(first["incarnation"].as_u64().unwrap() > 1_600_000_000_000);
    let stop = tokio::spawn(server.stop());
    let leaving = loop {
        let next = announcement(&control).await;
        if next["leaving"] == true {
            break next;
        }
    };
    assert_eq!(leaving["incarnation"], first["incarnation"]);
    assert!(!stop.is_finished(), "ended before it could be heard");
    stop.await.unwrap();
}

/// Guards against a process that ends on SIGTERM without telling control.
#[tokio::test]
async fn process_announces_its_end_on_sigterm() {
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    let address = control.local_addr().unwrap().to_string();
    let text = GOOD
        .replace("127.0.0.1:7001", &address)
        .replace("\"lag_ms\"", "\"leave_ms\": 300, \"lag_ms\"");
    std::fs::write(&path, text).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_banyansill-standin"))
        .args(["--config", path.to_str().unwrap()])
        .spawn()
        .unwrap();
    let first = announcement(&control).await;
    assert_eq!(
        (first["role"].as_str(), first["leaving"].as_bool()),
        (Some("replica"), Some(false))
    );
    let signal = format!("kill -TERM {}", process.id());
    assert!(Command::new("sh").args(["-c", &signal]).status().unwrap().success());
    while announcement(&control).await["leaving"] != true {}
    let status = tokio::task::spawn_blocking(move || process.wait()).await.unwrap();
    assert!(status.unwrap().success());
}

async fn announcement(control: &TcpListener) -> serde_json::Value {
    let (mut stream, _) = control.accept().await.expect("an announcement");
    let mut request = Vec::new();
    loop {
        let count = stream.read_buf(&mut request).await.expect("a request");
        assert!(count > 0, "the request is cut off");
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        assert!(head.starts_with("POST /v1/announce HTTP/1.1"), "{head}");
        let Ok(body) = serde_json::from_str(body) else { continue };
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        stream.write_all(answer).await.expect("the answer is sent");
        return body;
    }
}
