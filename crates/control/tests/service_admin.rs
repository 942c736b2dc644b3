//! The HTTP interface.

#![allow(clippy::unwrap_used)]

mod common;

use {
    banyansill_control::admin::{ErrorBody, TokenTable},
    common::{SHEET, http, settings},
    std::{net::SocketAddr, path::Path},
    tempfile::NamedTempFile,
};

const ANNOUNCEMENT: &str = r#"{"database":"repairs-1","server":"a","address":"127.0.0.1:7300",
"replication_address":"127.0.0.1:7301","region":"gulf","zone":"gulf-a","role":"primary","term":1,
"position":"1:5","slots":3,"connections":90,"leaving":false,"incarnation":7}"#;

async fn ask(address: SocketAddr, head: &str, body: &[u8]) -> (u16, String) {
    let (head, body) = (head.to_owned(), body.to_vec());
    tokio::task::spawn_blocking(move || http(address, &head, &body)).await.unwrap()
}

/// Repeats a request while the new leader refuses it for a moment.
async fn ask_leader(address: SocketAddr, head: &str, body: &[u8]) -> (u16, String) {
    common::eventually("an answer of the leader", async || {
        let reply = ask(address, head, body).await;
        (reply.0 != 503).then_some(reply)
    })
    .await
}

/// Guards against bad input that is accepted, crashes a handler or gets an error without a type.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors() {
    let handle = banyansill_control::spawn(settings()).await.unwrap();
    let address = handle.http_address();
    let announce = "POST /v1/announce";
    let (status, body) = ask_leader(address, announce, ANNOUNCEMENT.as_bytes()).await;
    assert_eq!((status, body.as_str()), (200, r#"{"term":0,"primary":"","announce_to":""}"#));
    let old = ANNOUNCEMENT.replace("\"incarnation\":7", "\"incarnation\":6");
    let large = vec![b' '; 20_000];
    let cases: [(&str, &[u8], u16, &str); 11] = [
        (announce, b"{", 400, "invalid"),
        (announce, b"\xff\xfe", 400, "invalid"),
        (announce, &large, 413, "too-large"),
        (announce, &ANNOUNCEMENT.replace("primary", "boss").into_bytes(), 400, "invalid"),
        (announce, &ANNOUNCEMENT.replace("1:5", "15").into_bytes(), 400, "invalid"),
        (announce, &ANNOUNCEMENT.replace("127.0.0.1:7300", "host").into_bytes(), 400, "invalid"),
        (announce, &ANNOUNCEMENT.replace("slots", "slot").into_bytes(), 400, "invalid"),
        (announce, old.as_bytes(), 409, "rejected"),
        ("GET /v1/events?since_ms=x", b"", 400, "invalid"),
        ("GET /v1/nothing", b"", 404, "not-found"),
        ("POST /v1/sheet?number=1", SHEET.as_bytes(), 401, "unauthorized"),
    ];
    for (head, body, status, error) in cases {
        let (code, reply) = ask(address, head, body).await;
        let parsed: ErrorBody = serde_json::from_str(&reply).unwrap();
        assert_eq!((code, parsed.error.as_str()), (status, error), "{head}: {reply}");
    }
    assert_eq!(ask(address, "GET /healthz", b"").await.0, 200);
    assert_eq!(ask(address, "GET /readyz", b"").await.0, 200);
    let (_, events) = ask(address, "GET /v1/events?since_ms=0", b"").await;
    assert!(events.contains("\"number\":303"), "{events}");
    let (_, status) = ask(address, "GET /v1/status", b"").await;
    assert!(status.contains("repairs-1"), "{status}");
    handle.stop().await;
}

/// Guards against a sheet that is applied without a token, and against an operator's name that the
/// caller chooses.
#[tokio::test(flavor = "multi_thread")]
async fn sheet_needs_a_token() {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "# operators\nada 0123456789abcdef\n").unwrap();
    let mut settings = settings();
    settings.tokens = Some(file.path().to_owned());
    let handle = banyansill_control::spawn(settings).await.unwrap();
    let address = handle.http_address();
    let post = |query: &str, token: &str| {
        format!("POST /v1/sheet?{query}\nAuthorization: Bearer {token}\r\n")
    };
    let wrong = post("number=1", "0123456789abcdee");
    assert_eq!(ask(address, &wrong, SHEET.as_bytes()).await.0, 401);
    let right = post("number=1&request_id=r1", "0123456789abcdef");
    let (code, first) = ask_leader(address, &right, SHEET.as_bytes()).await;
    assert_eq!(code, 200, "{first}");
    assert_eq!(ask(address, &right, SHEET.as_bytes()).await.1, first);
    let other = post("number=1", "0123456789abcdef");
    let (code, lost) = ask(address, &other, SHEET.replace("1000", "9").as_bytes()).await;
    assert!(code == 409 && lost.contains("operator ada"), "{lost}");
    let (code, faults) = ask(address, &other, b"x").await;
    assert!(code == 422 && faults.contains("\"column\":\"database\""), "{faults}");
    let large = vec![b'x'; (1 << 20) + 1];
    assert_eq!(ask(address, &other, &large).await.0, 413);
    let get = "GET /v1/sheet\nAuthorization: Bearer 0123456789abcdef\r\n";
    assert_eq!(ask(address, get, b"").await, (200, SHEET.to_owned()));
    assert_eq!(ask(address, "GET /v1/sheet", b"").await.0, 401);
    handle.stop().await;
}

/// Guards against tokens that are easy to guess, and against a file whose fault has no line.
#[test]
fn token_faults_name_their_line() {
    let fault = |text: &str| TokenTable::parse(Path::new("t"), text).unwrap_err().to_string();
    assert!(fault("\nada short").contains("line 2"));
    assert!(fault("ada").contains("line 1"));
    let table = TokenTable::parse(Path::new("t"), "ada 0123456789abcdef").unwrap();
    assert_eq!(table.operator("0123456789abcdef"), Some("ada"));
    assert_eq!(table.operator(""), None);
}
