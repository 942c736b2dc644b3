//! Limits on connections, message sizes and the time before authentication, and start-up input of any shape.

#![allow(clippy::unwrap_used)]

mod support;

use {
    banyansill_entry::session::CallerAuthentication,
    banyansill_runtime::tls::TlsFiles,
    bytes::{BufMut, BytesMut},
    postgres_protocol::message::frontend,
    proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner},
    std::time::{Duration, Instant},
    support::{Bench, DATABASE, RawCaller, show},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const TLS_REQUEST: [u8; 8] = [0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f];

/// Returns a start-up packet of exactly `size` bytes.
fn startup(size: usize) -> BytesMut {
    let packet = |padding: usize| {
        let name = "a".repeat(padding);
        let parameters =
            [("user", "depot"), ("database", DATABASE), ("application_name", name.as_str())];
        let mut buffer = BytesMut::new();
        frontend::startup_message(parameters, &mut buffer).unwrap();
        buffer
    };
    let bare = packet(0).len();
    packet(size - bare)
}

/// Returns a simple query of exactly `size` bytes with its header.
fn query(size: usize) -> BytesMut {
    let mut buffer = BytesMut::new();
    frontend::query(&format!("SELECT '{}'", "x".repeat(size - 15)), &mut buffer).unwrap();
    assert_eq!(buffer.len(), size);
    buffer
}

async fn refusal(caller: &mut RawCaller) -> String {
    let message = tokio::time::timeout(Duration::from_secs(5), caller.next()).await;
    show(&[message.expect("an answer in time").expect("an error")]).remove(0)
}

/// Waits for the end of a connection and returns how long it took.
async fn closed(caller: &mut RawCaller) -> Duration {
    let begin = Instant::now();
    let end = async { while caller.next().await.is_some() {} };
    tokio::time::timeout(Duration::from_secs(5), end).await.expect("a closed connection");
    begin.elapsed()
}

fn scram(folder: &tempfile::TempDir) -> CallerAuthentication {
    let path = folder.path().join("passwords");
    let verifier = postgres_protocol::password::scram_sha_256(b"secret");
    std::fs::write(&path, format!("depot:{verifier}\n")).unwrap();
    CallerAuthentication::Scram(path)
}

// Guards against limits on sizes that are off by one, and that do not hold before authentication.
#[tokio::test]
async fn sizes_are_limited_to_the_byte() {
    let folder = tempfile::tempdir().unwrap();
    let bench = Bench::open_with(|settings| {
        settings.startup_limit = 400;
        settings.message_limit = 4_096;
    })
    .await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    caller.write(&startup(401)).await;
    assert!(refusal(&mut caller).await.contains("C08P01"));
    let mut caller = RawCaller::open(bench.handle.address()).await;
    caller.write(&startup(400)).await;
    assert!(show(&caller.until_ready().await).last().unwrap() == "ZI");
    caller.write(&query(4_096)).await;
    assert!(show(&caller.until_ready().await).last().unwrap() == "ZI");
    // The header alone is refused, before the body has come.
    caller.write(&query(4_097)[..5]).await;
    assert!(refusal(&mut caller).await.contains("C08P01"));
    closed(&mut caller).await;
    let authentication = scram(&folder);
    let bench = Bench::open_with(|settings| {
        settings.startup_limit = 400;
        settings.message_limit = 1 << 20;
        settings.authentication = authentication;
    })
    .await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    caller.write(&startup(200)).await;
    assert_eq!(caller.next().await.unwrap().0, 'R');
    caller.write(b"p\0\0\x02\0").await;
    assert!(refusal(&mut caller).await.contains("C08P01"));
    closed(&mut caller).await;
}

// Guards against callers that hold a connection without being authenticated: silent, one byte at a time, or
// stopping before the password.
#[tokio::test]
async fn time_before_authentication_is_limited() {
    let folder = tempfile::tempdir().unwrap();
    let authentication = scram(&folder);
    let bench = Bench::open_with(|settings| {
        settings.startup_timeout = Duration::from_millis(400);
        settings.authentication = authentication;
    })
    .await;
    let mut silent = RawCaller::open(bench.handle.address()).await;
    let mut stopping = RawCaller::open(bench.handle.address()).await;
    stopping.write(&startup(200)).await;
    let mut slow = RawCaller::open(bench.handle.address()).await;
    let begin = Instant::now();
    for byte in startup(200) {
        // A write after the end of the connection fails.
        if slow.socket.write_all(&[byte]).await.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
        assert!(begin.elapsed() < Duration::from_secs(4), "the slow caller is still connected");
    }
    closed(&mut slow).await;
    closed(&mut silent).await;
    closed(&mut stopping).await;
    bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
    let mut config = bench.config();
    assert!(config.password("secret").connect(tokio_postgres::NoTls).await.is_ok());
}

// Guards against connections without authentication that pile up, and places that are not given back.
#[tokio::test]
async fn connections_are_limited_before_authentication() {
    let bench = Bench::open_with(|settings| {
        settings.max_callers = 4;
        settings.startup_timeout = Duration::from_secs(30);
    })
    .await;
    let mut callers = Vec::new();
    for _ in 0..200 {
        callers.push(RawCaller::open(bench.handle.address()).await);
    }
    // 4 callers and 64 more that would be told why they are refused; the others are closed at once.
    bench.router.wait_for(|_| bench.handle.registry().open() == 68).await;
    // The last connections may still wait to be accepted; none is closed by the time limit meanwhile.
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let mut open = 0;
        for caller in &mut callers {
            let mut byte = [0];
            let read = caller.socket.read(&mut byte);
            open +=
                usize::from(tokio::time::timeout(Duration::from_millis(5), read).await.is_err());
        }
        if open == 68 {
            break;
        }
        assert!(Instant::now() < deadline, "{open} connections are open");
    }
    drop(callers);
    bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
    assert_eq!(bench.raw().await.query("SELECT 1").await.last().unwrap(), "ZI");
}

/// What a connection sends before it is authenticated.
#[derive(Clone, Debug)]
enum Piece {
    /// Any bytes.
    Bytes(Vec<u8>),
    /// A request for TLS.
    Tls,
    /// A packet of protocol 3 with any names and values, of which only a part may be sent.
    Packet(Vec<(String, String)>, usize),
    /// A header that announces a size, and fewer bytes.
    Header(i32, usize),
    /// The beginning of a TLS record.
    Record(u8, u16, Vec<u8>),
    /// Nothing for some milliseconds.
    Pause(u64),
}

fn piece() -> impl Strategy<Value = Piece> {
    let name = || "[a-z_.]{0,12}|user|database|options|application_name|banyansill.kind|DateStyle";
    let value = || prop_oneof!["[ -~]{0,40}", Just("x".repeat(3_000)), ".{0,10}"];
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200).prop_map(Piece::Bytes),
        Just(Piece::Tls),
        (prop::collection::vec((name(), value()), 0..80), 0..100_usize)
            .prop_map(|(parameters, part)| Piece::Packet(parameters, part)),
        (prop_oneof![any::<i32>(), -8..64_i32], 0..64_usize)
            .prop_map(|(length, sent)| Piece::Header(length, sent)),
        (20..24_u8, any::<u16>(), prop::collection::vec(any::<u8>(), 0..100))
            .prop_map(|(kind, length, body)| Piece::Record(kind, length, body)),
        (0..30_u64).prop_map(Piece::Pause),
    ]
}

fn encode(piece: &Piece) -> BytesMut {
    let mut buffer = BytesMut::new();
    match piece {
        Piece::Bytes(bytes) => buffer.put_slice(bytes),
        Piece::Tls => buffer.put_slice(&TLS_REQUEST),
        Piece::Packet(parameters, part) => {
            buffer.put_i32(0);
            buffer.put_i32(3 << 16);
            for (name, value) in parameters {
                buffer.put_slice(name.as_bytes());
                buffer.put_u8(0);
                buffer.put_slice(value.as_bytes());
                buffer.put_u8(0);
            }
            buffer.put_u8(0);
            let length = i32::try_from(buffer.len()).unwrap();
            buffer[..4].copy_from_slice(&length.to_be_bytes());
            // Above 50 the packet is whole.
            buffer.truncate(buffer.len() * (part + 50).min(100) / 100);
        }
        Piece::Header(length, sent) => {
            buffer.put_i32(*length);
            buffer.put_bytes(0, *sent);
        }
        Piece::Record(kind, length, body) => {
            buffer.put_slice(&[*kind, 3, 3]);
            buffer.put_u16(*length);
            buffer.put_slice(body);
        }
        Piece::Pause(_) => {}
    }
    buffer
}

// Guards against a panic, a stuck session or a lost place on any input before authentication, with and
// without TLS.
#[tokio::test]
async fn any_input_before_authentication_ends_the_connection() {
    let folder = tempfile::tempdir().unwrap();
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    let (certificate, key) = (folder.path().join("c.pem"), folder.path().join("k.pem"));
    std::fs::write(&certificate, pair.cert.pem()).unwrap();
    std::fs::write(&key, pair.signing_key.serialize_pem()).unwrap();
    for tls in [None, Some(TlsFiles { certificate, key })] {
        let bench = Bench::open_with(|settings| {
            settings.tls = tls;
            settings.startup_timeout = Duration::from_millis(300);
            settings.stall_timeout = Duration::from_millis(200);
        })
        .await;
        let mut runner = TestRunner::deterministic();
        let strategy = prop::collection::vec(piece(), 1..6);
        let mut tasks = Vec::new();
        for _ in 0..300 {
            let pieces = strategy.new_tree(&mut runner).unwrap().current();
            let address = bench.handle.address();
            tasks.push(tokio::spawn(async move {
                let mut caller = RawCaller::open(address).await;
                for piece in &pieces {
                    if let Piece::Pause(millis) = piece {
                        tokio::time::sleep(Duration::from_millis(*millis)).await;
                    }
                    // The server may have closed the connection already.
                    if caller.socket.write_all(&encode(piece)).await.is_err() {
                        return;
                    }
                }
                // A start-up that happens to be valid leaves an idle session; the end of the input ends it.
                let _ = caller.socket.shutdown().await;
                let mut rest = Vec::new();
                let read = caller.socket.read_to_end(&mut rest);
                let _ = tokio::time::timeout(Duration::from_secs(5), read).await.expect("an end");
                assert!(rest.len() < 64 << 10, "{} bytes of answers to {pieces:?}", rest.len());
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
        bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
        assert!(bench.router.grants().is_empty(), "input before authentication reached a target");
        assert_eq!(bench.raw().await.query("SELECT 1").await.last().unwrap(), "ZI");
    }
}
