//! Limits on connections, message sizes and the time until authentication, and arbitrary start-up input.

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

/// Returns the next message, which is expected to be an error, as text.
async fn next_error(caller: &mut RawCaller) -> String {
    let message = tokio::time::timeout(Duration::from_secs(5), caller.next()).await;
    show(&[message.expect("a response in time").expect("an error")]).remove(0)
}

/// Waits until the server closes the connection and returns how long it took.
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

// Guards against size limits that are off by one or not enforced before authentication.
#[tokio::test]
async fn size_limits_are_exact() {
    let folder = tempfile::tempdir().unwrap();
    let bench = Bench::open_with(|settings| {
        settings.startup_limit = 400;
        settings.message_limit = 4_096;
    })
    .await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    caller.write(&startup(401)).await;
    assert!(next_error(&mut caller).await.contains("C08P01"));
    let mut caller = RawCaller::open(bench.handle.address()).await;
    caller.write(&startup(400)).await;
    assert!(show(&caller.until_ready().await).last().unwrap() == "ZI");
    caller.write(&query(4_096)).await;
    assert!(show(&caller.until_ready().await).last().unwrap() == "ZI");
    // The header alone is rejected, before the body arrives.
    caller.write(&query(4_097)[..5]).await;
    assert!(next_error(&mut caller).await.contains("C08P01"));
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
    assert!(next_error(&mut caller).await.contains("C08P01"));
    closed(&mut caller).await;
}

// Guards against callers that hold a connection without authenticating: they send nothing, send one byte at a
// time, or stop before the password.
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
        // A write fails once the server has closed the connection.
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

// Guards against an unlimited number of unauthenticated connections, and against connection slots that are
// not released.
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
    // 4 callers and 64 more that would get an error with the reason; the others are closed immediately.
    bench.router.wait_for(|_| bench.handle.registry().open() == 68).await;
    // The last connections may still be waiting to be accepted; the start-up timeout closes none meanwhile.
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

/// Input that a connection sends before it is authenticated.
#[derive(Clone, Debug)]
enum StartupInput {
    /// Arbitrary bytes.
    Bytes(Vec<u8>),
    /// An SSLRequest packet.
    Tls,
    /// A start-up packet of protocol 3 with arbitrary parameters, which may be truncated.
    Packet(Vec<(String, String)>, usize),
    /// A length header and a number of zero bytes that need not match it.
    Header(i32, usize),
    /// The header of a TLS record and some bytes of its body.
    Record(u8, u16, Vec<u8>),
    /// A pause in milliseconds.
    Pause(u64),
}

fn startup_input() -> impl Strategy<Value = StartupInput> {
    let name = || "[a-z_.]{0,12}|user|database|options|application_name|banyansill.kind|DateStyle";
    let value = || prop_oneof!["[ -~]{0,40}", Just("x".repeat(3_000)), ".{0,10}"];
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200).prop_map(StartupInput::Bytes),
        Just(StartupInput::Tls),
        (prop::collection::vec((name(), value()), 0..80), 0..100_usize)
            .prop_map(|(parameters, part)| StartupInput::Packet(parameters, part)),
        (prop_oneof![any::<i32>(), -8..64_i32], 0..64_usize)
            .prop_map(|(length, sent)| StartupInput::Header(length, sent)),
        (20..24_u8, any::<u16>(), prop::collection::vec(any::<u8>(), 0..100))
            .prop_map(|(kind, length, body)| StartupInput::Record(kind, length, body)),
        (0..30_u64).prop_map(StartupInput::Pause),
    ]
}

fn encode(piece: &StartupInput) -> BytesMut {
    let mut buffer = BytesMut::new();
    match piece {
        StartupInput::Bytes(bytes) => buffer.put_slice(bytes),
        StartupInput::Tls => buffer.put_slice(&TLS_REQUEST),
        StartupInput::Packet(parameters, part) => {
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
            // From 50 on the packet is complete.
            buffer.truncate(buffer.len() * (part + 50).min(100) / 100);
        }
        StartupInput::Header(length, sent) => {
            buffer.put_i32(*length);
            buffer.put_bytes(0, *sent);
        }
        StartupInput::Record(kind, length, body) => {
            buffer.put_slice(&[*kind, 3, 3]);
            buffer.put_u16(*length);
            buffer.put_slice(body);
        }
        StartupInput::Pause(_) => {}
    }
    buffer
}

// Guards against a panic, a session that never ends or a connection slot that is not released, on any input
// before authentication, with and without TLS.
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
        let strategy = prop::collection::vec(startup_input(), 1..6);
        let mut tasks = Vec::new();
        for _ in 0..300 {
            let pieces = strategy.new_tree(&mut runner).unwrap().current();
            let address = bench.handle.address();
            tasks.push(tokio::spawn(async move {
                let mut caller = RawCaller::open(address).await;
                for piece in &pieces {
                    if let StartupInput::Pause(millis) = piece {
                        tokio::time::sleep(Duration::from_millis(*millis)).await;
                    }
                    // The server may have closed the connection already.
                    if caller.socket.write_all(&encode(piece)).await.is_err() {
                        return;
                    }
                }
                // Input that happens to be a valid start-up opens an idle session; end of input closes it.
                let _ = caller.socket.shutdown().await;
                let mut rest = Vec::new();
                let read = caller.socket.read_to_end(&mut rest);
                let _ = tokio::time::timeout(Duration::from_secs(5), read)
                    .await
                    .expect("a closed connection");
                assert!(rest.len() < 64 << 10, "{} bytes of responses to {pieces:?}", rest.len());
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
