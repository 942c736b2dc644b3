//! Protocol of one connection.

mod support;

use {
    bytes::BytesMut,
    postgres_protocol::message::frontend,
    std::time::{Duration, Instant},
    support::{
        code, connect, eventually, failure, primary,
        raw::{RawClient, parse_and_bind},
        resident_bytes, rows,
    },
    tokio_postgres::{NoTls, types::Type},
};

/// Guards against a portal that sends more rows than asked for, loses some or never ends.
#[tokio::test]
async fn portals_stop_at_their_row_limit() {
    let server = primary().await;
    let mut client = connect(&server).await;
    let transaction = client.transaction().await.unwrap();
    let text = "SELECT n FROM generate_series(1, 1000) n";
    let portal = transaction.bind(text, &[]).await.unwrap();
    let mut found = Vec::new();
    loop {
        let part = transaction.query_portal(&portal, 300).await.unwrap();
        assert!(part.len() <= 300);
        if part.is_empty() {
            break;
        }
        found.extend(part.iter().map(|row| row.get::<_, i32>(0)));
    }
    assert_eq!(found, (1..=1000).collect::<Vec<_>>());
    transaction.commit().await.unwrap();
    server.kill().await;
}

/// Guards against running messages after an error, and against losing step with the caller.
#[tokio::test]
async fn messages_after_an_error_are_skipped_until_sync() {
    let server = primary().await;
    let mut client = RawClient::open(&server).await;
    client.query("CREATE TABLE t (id int PRIMARY KEY)").await;
    let mut output = BytesMut::new();
    for text in ["INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (2)"]
    {
        parse_and_bind(text, &mut output);
        frontend::execute("", 0, &mut output).unwrap();
    }
    frontend::sync(&mut output);
    parse_and_bind("SELECT id FROM t", &mut output);
    frontend::describe(b'P', "", &mut output).unwrap();
    frontend::execute("", 0, &mut output).unwrap();
    frontend::sync(&mut output);
    client.send(output).await;
    let answers = client.until_ready().await;
    let expected =
        ["parsed", "bound", "complete INSERT 0 1", "parsed", "bound", "error 23505", "ready I"];
    assert_eq!(answers, expected);
    // The first insert belonged to the same transaction.
    let answers = client.until_ready().await;
    assert_eq!(answers, ["parsed", "bound", "description", "complete SELECT 0", "ready I"]);
    server.kill().await;
}

/// Guards against wrong answers to the messages that drivers send besides queries.
#[tokio::test]
async fn statements_and_portals_are_described_and_closed() {
    let server = primary().await;
    let client = connect(&server).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY, note text)").await.unwrap();
    let prepared = client.prepare("SELECT note, id FROM t WHERE id = $1 LIMIT $2").await.unwrap();
    assert_eq!(prepared.params(), [Type::INT4, Type::INT8]);
    let types: Vec<_> = prepared.columns().iter().map(|column| column.type_().clone()).collect();
    assert_eq!(types, [Type::TEXT, Type::INT4]);
    let prepared = client.prepare("INSERT INTO t VALUES ($1, $2)").await.unwrap();
    assert_eq!(prepared.params(), [Type::INT4, Type::TEXT]);
    assert!(prepared.columns().is_empty());

    let mut raw = RawClient::open(&server).await;
    let mut output = BytesMut::new();
    frontend::parse("named", "SELECT id FROM t", [], &mut output).unwrap();
    frontend::describe(b'S', "named", &mut output).unwrap();
    frontend::close(b'S', "named", &mut output).unwrap();
    frontend::describe(b'S', "named", &mut output).unwrap();
    frontend::sync(&mut output);
    parse_and_bind("", &mut output);
    frontend::describe(b'P', "", &mut output).unwrap();
    frontend::execute("", 0, &mut output).unwrap();
    frontend::flush(&mut output);
    raw.send(output).await;
    let answers = raw.until_ready().await;
    assert_eq!(
        answers,
        ["parsed", "parameters", "description", "closed", "error 26000", "ready I"]
    );
    for expected in ["parsed", "bound", "no data", "empty"] {
        assert_eq!(raw.next().await, expected, "sent by Flush without Sync");
    }
    let mut output = BytesMut::new();
    frontend::execute("missing", 0, &mut output).unwrap();
    frontend::sync(&mut output);
    raw.send(output).await;
    assert_eq!(raw.until_ready().await, ["error 34000", "ready I"]);
    assert_eq!(raw.query(" ; ").await, ["empty", "ready I"]);
    server.kill().await;
}

/// Guards against part of a query text taking effect when a later statement fails.
#[tokio::test]
async fn statements_of_one_query_are_one_transaction() {
    let server = primary().await;
    let client = connect(&server).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();
    let text = "INSERT INTO t VALUES (1); INSERT INTO t VALUES (2); SELECT missing";
    assert_eq!(failure(&client, text).await, "42703");
    let text = "INSERT INTO t VALUES (3); COMMIT; INSERT INTO t VALUES (4); SELECT 1 / 0";
    assert_eq!(failure(&client, text).await, "22012");
    assert_eq!(rows(&client, "SELECT id FROM t").await, ["3"]);
    let text = "BEGIN; INSERT INTO t VALUES (5); ROLLBACK; SELECT id FROM t";
    assert_eq!(rows(&client, text).await, ["3"]);
    server.kill().await;
}

/// Guards against a position that is missing, late or below what the session wrote or read.
#[tokio::test]
async fn position_is_reported_before_ready() {
    let server = primary().await;
    let mut client = RawClient::open(&server).await;
    assert_eq!(client.position, "1:1");
    let answers = client.query("CREATE TABLE t (id int)").await;
    assert_eq!(answers, ["complete CREATE TABLE", "status group_position 1:2", "ready I"]);
    assert_eq!(
        client.query("SELECT id FROM t").await,
        ["description", "complete SELECT 0", "ready I"]
    );
    let mut other = RawClient::open(&server).await;
    other.query("INSERT INTO t VALUES (1)").await;
    assert_eq!(other.position, "1:3");
    assert_eq!(client.position, "1:2");
    client.query("SELECT id FROM t").await;
    assert_eq!(client.position, "1:3", "read position");
    client.query("BEGIN").await;
    client.query("INSERT INTO t VALUES (2)").await;
    assert_eq!(client.position, "1:3", "not committed");
    other.query("INSERT INTO t VALUES (3)").await;
    client.query("COMMIT").await;
    assert_eq!((client.position.as_str(), other.position.as_str()), ("1:5", "1:4"));
    client.query("SELECT group_promote(7)").await;
    assert_eq!(client.position, "7:6");
    server.kill().await;
}

/// Guards against statements that cannot be stopped while they sleep or wait for a slot or a lock.
#[tokio::test]
async fn cancel_stops_the_running_statement_only() {
    let mut settings = support::settings(banyansill_standin::settings::StartRole::Primary);
    settings.slots = 1;
    let server = banyansill_standin::spawn(settings).await.unwrap();
    let (first, second) = (connect(&server).await, connect(&server).await);
    let start = Instant::now();
    let sleeping = first.simple_query("SELECT pg_sleep(30)");
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        second.simple_query("SELECT 1").await
    };
    let cancels = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        second.cancel_token().cancel_query(NoTls).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.cancel_token().cancel_query(NoTls).await.unwrap();
    };
    let (sleeping, waiting, ()) = tokio::join!(sleeping, waiting, cancels);
    assert_eq!(code(&sleeping.unwrap_err()), "57014");
    assert_eq!(code(&waiting.unwrap_err()), "57014");
    first.cancel_token().cancel_query(NoTls).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(rows(&first, "SELECT 2").await, ["2"], "an idle session ignores a cancel");

    first.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();
    first.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.unwrap();
    let blocked = second.simple_query("INSERT INTO t VALUES (1)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        second.cancel_token().cancel_query(NoTls).await.unwrap();
    };
    let (blocked, ()) = tokio::join!(blocked, cancel);
    assert_eq!(code(&blocked.unwrap_err()), "57014");
    let long = first.simple_query("SELECT count(*) FROM generate_series(1, 100000000000)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.cancel_token().cancel_query(NoTls).await.unwrap();
    };
    let (long, ()) = tokio::join!(long, cancel);
    assert_eq!(code(&long.unwrap_err()), "57014");
    assert!(start.elapsed() < Duration::from_secs(10));
    server.kill().await;
}

/// Guards against large results that pile up in the server while the caller does not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_results_are_sent_as_the_caller_reads() {
    let server = primary().await;
    let mut slow = RawClient::open(&server).await;
    let before = resident_bytes();
    let mut output = BytesMut::new();
    let text = "SELECT repeat('x', 1000) FROM generate_series(1, 1000000)";
    frontend::query(text, &mut output).unwrap();
    slow.send(output).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 64 * 1024 * 1024, "{grown} bytes more for an answer of 1 GB");
    assert_eq!(slow.next().await, "description");
    for _ in 0..50_000 {
        assert_eq!(slow.next().await, "row");
    }
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 64 * 1024 * 1024, "{grown} bytes more while reading");
    server.kill().await;
}

/// Guards against prepared statements and settings that outlive `DEALLOCATE` and `DISCARD ALL`.
#[tokio::test]
async fn session_state_can_be_discarded() {
    let server = primary().await;
    let mut client = RawClient::open(&server).await;
    let mut output = BytesMut::new();
    for name in ["a", "b"] {
        frontend::parse(name, "SELECT 1", [], &mut output).unwrap();
    }
    frontend::sync(&mut output);
    frontend::parse("a", "SELECT 2", [], &mut output).unwrap();
    frontend::sync(&mut output);
    client.send(output).await;
    assert_eq!(client.until_ready().await, ["parsed", "parsed", "ready I"]);
    assert_eq!(client.until_ready().await, ["error 42P05", "ready I"]);
    assert_eq!(client.query("DEALLOCATE a").await, ["complete DEALLOCATE", "ready I"]);
    assert_eq!(client.query("DEALLOCATE a").await, ["error 26000", "ready I"]);
    let answers = client.query("SET application_name = 'counter'").await;
    assert_eq!(answers, ["complete SET", "status application_name counter", "ready I"]);
    let answers = client.query("BEGIN; SET application_name = 'other'; ROLLBACK").await;
    assert!(!answers.iter().any(|answer| answer.starts_with("status application_name other")));
    let answers = client.query("DISCARD ALL").await;
    assert_eq!(answers, ["complete DISCARD ALL", "status application_name ", "ready I"]);
    assert_eq!(client.query("DEALLOCATE b").await, ["error 26000", "ready I"]);
    let plain = connect(&server).await;
    plain.batch_execute("SET my.tag = 'x'; BEGIN; SET LOCAL my.tag = 'y'").await.unwrap();
    assert_eq!(rows(&plain, "SHOW my.tag").await, ["y"]);
    plain.batch_execute("COMMIT").await.unwrap();
    assert_eq!(rows(&plain, "SHOW my.tag").await, ["x"]);
    plain.batch_execute("BEGIN; SET my.tag = 'z'; ROLLBACK").await.unwrap();
    assert_eq!(rows(&plain, "SHOW my.tag").await, ["x"]);
    plain.batch_execute("DISCARD ALL").await.unwrap();
    assert_eq!(failure(&plain, "SHOW my.tag").await, "42704");
    assert_eq!(failure(&plain, "BEGIN; DISCARD ALL").await, "25001");
    server.kill().await;
}

/// Guards against connections that cannot start because a driver first asks for more than there is.
#[tokio::test]
async fn startup_negotiates_what_is_supported() {
    let server = primary().await;
    let mut output = BytesMut::new();
    frontend::ssl_request(&mut output);
    assert_eq!(RawClient::exchange(&server, &output, 1).await, b"N");
    let gss = [0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x30];
    assert_eq!(RawClient::exchange(&server, &gss, 1).await, b"N");
    let startup = |database, minor| {
        let mut output = BytesMut::new();
        let parameters = [("user", "caller"), ("database", database)];
        frontend::startup_message(parameters, &mut output).unwrap();
        output[7] = minor;
        output
    };
    let answer = RawClient::exchange(&server, &startup("hamper", 0), 9).await;
    assert_eq!(answer[..9], [b'R', 0, 0, 0, 8, 0, 0, 0, 0]);
    let answer = RawClient::exchange(&server, &startup("hamper", 2), 9).await;
    assert_eq!(answer[..9], [b'v', 0, 0, 0, 12, 0, 0, 0, 0], "protocol 3.2 is answered with 3.0");
    let refused = RawClient::exchange(&server, &startup("other", 0), usize::MAX).await;
    assert!(String::from_utf8_lossy(&refused).contains("C3D000"));
    let mut unknown = startup("hamper", 0);
    unknown.extend_from_slice(&[b'?', 0, 0, 0, 4]);
    let closed = RawClient::exchange(&server, &unknown, usize::MAX).await;
    assert!(String::from_utf8_lossy(&closed).contains("C08P01"));
    eventually("closed", || async { server.open_connections() == 0 }).await;
    server.kill().await;
}
