//! Start-up, cancellation, authentication, timeouts, limits and the planned stop.

mod support;

use {
    banyansill_core::failure::FailureKind,
    banyansill_entry::session::CallerAuthentication,
    bytes::{BufMut, BytesMut},
    postgres_protocol::message::frontend,
    std::time::{Duration, Instant},
    support::{Act, Bench, RawCaller, Received, show, texts},
    tokio::io::AsyncReadExt,
};

fn query(text: &str) -> BytesMut {
    let mut buffer = BytesMut::new();
    frontend::query(text, &mut buffer).expect("a short text");
    buffer
}

// Guards against drivers that request TLS or GSS encryption first and get no response.
#[tokio::test]
async fn encryption_is_declined() {
    let bench = Bench::open().await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    for code in [80_877_103, 80_877_104] {
        let mut buffer = BytesMut::new();
        buffer.put_i32(8);
        buffer.put_i32(code);
        caller.write(&buffer).await;
        assert_eq!(caller.socket.read_u8().await.unwrap(), b'N');
    }
    let key = caller.start().await;
    assert!(key.0 > 0);
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against rejecting newer drivers that also support protocol 3.0.
#[tokio::test]
async fn later_minor_versions_are_negotiated() {
    let bench = Bench::open().await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    let mut buffer = BytesMut::new();
    buffer.put_i32(0);
    buffer.put_i32((3 << 16) + 2);
    buffer.put_slice(b"user\0depot\0_pq_.x\0on\0\0");
    let length = i32::try_from(buffer.len()).unwrap();
    buffer[..4].copy_from_slice(&length.to_be_bytes());
    caller.write(&buffer).await;
    let responses = show(&caller.until_ready().await);
    assert_eq!(responses[0], "v_pq_.x");
    assert!(responses.last().unwrap() == "ZI");
}

// Guards against a cancel request that cancels another session or a later statement, or has no effect.
#[tokio::test]
async fn cancel_reaches_the_running_statement_only() {
    let bench = Bench::open().await;
    let mut caller = RawCaller::open(bench.handle.address()).await;
    let (process, secret) = caller.start().await;
    let cancel = async |process: i32, secret: i32| {
        let mut buffer = BytesMut::new();
        frontend::cancel_request(process, secret, &mut buffer);
        let mut other = RawCaller::open(bench.handle.address()).await;
        other.write(&buffer).await;
        assert!(other.next().await.is_none());
    };
    cancel(process, secret).await;
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
    bench.router.act("near", Act::Silent);
    caller.write(&query("SELECT 2")).await;
    bench.router.wait_for(|grants| grants.len() == 2 && grants[1].received.len() == 1).await;
    cancel(process, secret.wrapping_add(1)).await;
    cancel(process.wrapping_add(1), secret).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.router.grants()[1].received.len(), 1);
    cancel(process, secret).await;
    let responses = show(&caller.until_ready().await);
    assert!(responses[0].contains("C57014"), "{responses:?}");
    assert_eq!(bench.router.grants()[1].received[1], Received::Cancel);
}

// Guards against callers over the limit that hang, and against connection slots that are not released.
#[tokio::test]
async fn callers_over_the_limit_get_an_error() {
    let bench = Bench::open_with(|settings| settings.max_callers = 1).await;
    let first = bench.raw().await;
    let error = bench.config().connect(tokio_postgres::NoTls).await.err().unwrap();
    assert_eq!(error.code().unwrap().code(), "53300");
    drop(first);
    let again = tokio::time::timeout(Duration::from_secs(5), async {
        while bench.config().connect(tokio_postgres::NoTls).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    again.await.unwrap();
}

// Guards against connections that stay open without authenticating or after an incomplete message, and
// against closing callers that are only idle between requests.
#[tokio::test]
async fn silent_callers_are_closed_and_idle_ones_stay() {
    let timeout = Duration::from_millis(150);
    let bench = Bench::open_with(|settings| {
        settings.startup_timeout = timeout;
        settings.stall_timeout = timeout;
    })
    .await;
    let mut idle = bench.raw().await;
    let mut unauthenticated = RawCaller::open(bench.handle.address()).await;
    assert!(unauthenticated.next().await.is_none());
    let mut stuck = bench.raw().await;
    stuck.write(&query("SELECT 1")[..7]).await;
    assert!(stuck.next().await.is_none());
    let mut unsynced = bench.raw().await;
    let mut buffer = BytesMut::new();
    frontend::parse("", "SELECT 1", [], &mut buffer).unwrap();
    unsynced.write(&buffer).await;
    assert_eq!(unsynced.next().await.unwrap().0, 'E');
    assert!(unsynced.next().await.is_none());
    assert_eq!(idle.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against a caller that does not read its responses and keeps its grant indefinitely.
#[tokio::test]
async fn callers_that_do_not_read_are_closed() {
    let timeout = Duration::from_millis(200);
    let bench = Bench::open_with(|settings| settings.stall_timeout = timeout).await;
    let mut caller = bench.raw().await;
    bench.router.act("near", Act::Rows(50_000));
    caller.write(&query("SELECT 1")).await;
    bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
}

// Guards against a caller that waits indefinitely for a broker that never responds.
#[tokio::test]
async fn unresponsive_broker_times_out() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("near", Act::Silent);
    let started = Instant::now();
    let responses = caller.query("/* kind=brief */ SELECT 1").await;
    assert!(responses[0].contains("run-timeout"), "{responses:?}");
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against a planned stop that interrupts a transaction or closes idle callers without an error.
#[tokio::test]
async fn drain_waits_for_open_transactions() {
    let bench = Bench::open().await;
    let mut idle = bench.raw().await;
    let mut busy = bench.raw().await;
    busy.query("BEGIN").await;
    busy.query("INSERT INTO t VALUES (1)").await;
    let address = bench.handle.address();
    let drain = bench.handle.drain(Duration::from_secs(10));
    let work = async {
        let (tag, body) = idle.next().await.unwrap();
        assert!(tag == 'E' && String::from_utf8_lossy(&body).contains("57P01"));
        assert!(idle.next().await.is_none());
        let mut late = RawCaller::open(address).await;
        let mut buffer = BytesMut::new();
        frontend::startup_message([("user", "depot")], &mut buffer).unwrap();
        late.write(&buffer).await;
        assert_eq!(late.next().await.unwrap().0, 'E');
        assert_eq!(busy.query("INSERT INTO t VALUES (2)").await.last().unwrap(), "ZT");
        assert_eq!(busy.query("COMMIT").await, ["CCOMMIT", "ZI"]);
        assert_eq!(busy.next().await.unwrap().0, 'E');
    };
    let started = Instant::now();
    let (open, ()) = tokio::join!(drain, work);
    assert_eq!(open, 0);
    assert!(started.elapsed() < Duration::from_secs(5));
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

// Guards against a planned stop that sends the shutdown error just as an idle caller sends its next request,
// which the caller could not distinguish from an interrupted request; and against closing a session between
// Prepare and Execute.
#[tokio::test]
async fn drain_serves_one_more_request_of_an_idle_caller() {
    let bench = Bench::open().await;
    let mut plain = bench.raw().await;
    let (client, connection) = bench.config().connect(tokio_postgres::NoTls).await.unwrap();
    let connection = tokio::spawn(connection);
    let drain = bench.handle.drain(Duration::from_secs(10));
    let work = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(plain.query("INSERT INTO t VALUES (1)").await.last().unwrap(), "ZI");
        let (tag, body) = plain.next().await.unwrap();
        assert!(tag == 'E' && String::from_utf8_lossy(&body).contains("57P01"));
        let statement = client.prepare("INSERT INTO t VALUES (2)").await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        client.execute(&statement, &[]).await.unwrap();
        assert!(connection.await.unwrap().is_err(), "the caller receives the shutdown error");
    };
    let (open, ()) = tokio::join!(drain, work);
    assert_eq!(open, 0);
}

// Guards against a planned stop without a time limit, and against a result that omits the sessions that were
// still open.
#[tokio::test]
async fn drain_reports_open_sessions() {
    let bench = Bench::open().await;
    let mut busy = bench.raw().await;
    busy.query("BEGIN").await;
    busy.query("INSERT INTO t VALUES (1)").await;
    assert_eq!(bench.handle.drain(Duration::from_millis(100)).await, 1);
    assert!(busy.next().await.is_none());
    bench.router.wait_for(|grants| grants[0].received.last() == Some(&Received::Dropped)).await;
}

// Guards against retries that multiply the load of a failing group.
#[tokio::test]
async fn retries_are_bounded() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    for _ in 0..100 {
        for server in ["near", "far", "p"] {
            bench.router.act(server, Act::Refuse(FailureKind::Unreachable));
        }
    }
    for _ in 0..50 {
        let responses = caller.query("SELECT 1").await;
        assert!(responses[0].contains("unreachable"), "{responses:?}");
    }
    // 50 first attempts, a burst of 10 retries and one more retry for every ten requests.
    assert!(bench.router.grants().len() <= 50 + 10 + 5 + 1, "{}", bench.router.grants().len());
}

// Guards against accepting a wrong password, and against rejecting the right one.
#[tokio::test]
async fn passwords_are_checked() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let verifier = postgres_protocol::password::scram_sha_256(b"goldeye");
    std::fs::write(file.path(), format!("# callers\ndepot:{verifier}\n")).unwrap();
    let path = file.path().to_owned();
    let bench = Bench::open_with(|settings| {
        settings.authentication = CallerAuthentication::Scram(path);
    })
    .await;
    for (user, password, expected) in [
        ("depot", "goldeye", None),
        ("depot", "pickerel", Some("28P01")),
        ("finance", "goldeye", Some("28P01")),
    ] {
        let mut config = bench.config();
        let error = config.user(user).password(password).connect(tokio_postgres::NoTls).await.err();
        let code = error.and_then(|error| error.code().map(|code| code.code().to_owned()));
        assert_eq!(code.as_deref(), expected, "{user} {password}");
    }
    let mut caller = RawCaller::open(bench.handle.address()).await;
    let mut buffer = BytesMut::new();
    frontend::startup_message([("user", "depot")], &mut buffer).unwrap();
    frontend::query("SELECT 1", &mut buffer).unwrap();
    caller.write(&buffer).await;
    assert_eq!(caller.next().await.unwrap().0, 'R');
    assert_eq!(caller.next().await.unwrap().0, 'E');
    assert!(caller.next().await.is_none());
    assert!(bench.router.grants().is_empty());
}

// Guards against responses that reach another caller, and against transactions that share a grant, when many
// sessions run concurrently and some of them disconnect.
#[tokio::test]
async fn concurrent_sessions_do_not_mix() {
    let bench = Bench::open_with(|settings| settings.workers = 2).await;
    let mut tasks = Vec::new();
    for number in 0..32 {
        let address = bench.handle.address();
        tasks.push(tokio::spawn(async move {
            for round in 0..5 {
                let mut caller = RawCaller::open(address).await;
                caller.start().await;
                for step in 0..20 {
                    let tag = format!("echo-{number}-{round}-{step}");
                    if step % 4 == 3 {
                        caller.query("BEGIN").await;
                        caller.query(&format!("INSERT INTO t VALUES ('{tag}')")).await;
                    }
                    let lines = caller.query(&format!("SELECT '{tag}'")).await;
                    assert!(lines[1].contains(&format!("'{tag}'")), "{lines:?}");
                    if step % 8 == 3 {
                        assert_eq!(caller.query("COMMIT").await, ["CCOMMIT", "ZI"]);
                    } else if step % 8 == 7 {
                        assert_eq!(caller.query("ROLLBACK").await, ["CROLLBACK", "ZI"]);
                    }
                }
                // Disconnects with a response outstanding and a transaction open.
                caller.query("BEGIN").await;
                caller.write(&query("SELECT 'echo-left'")).await;
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    bench.router.wait_for(|_| bench.handle.registry().open() == 0).await;
    for grant in bench.router.grants() {
        let mut owners = std::collections::BTreeSet::new();
        for text in texts(&grant) {
            if let Some((_, tag)) = text.split_once("echo-") {
                owners.insert(tag.rsplit_once('-').map(|(owner, _)| owner.to_owned()));
            }
        }
        assert!(owners.len() <= 1, "{owners:?}");
    }
}
