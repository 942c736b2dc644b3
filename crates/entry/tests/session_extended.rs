//! The extended protocol: batches, named statements, COPY.

mod support;

use {
    banyansill_core::failure::FailureKind,
    bytes::BytesMut,
    postgres_protocol::{IsNull, message::frontend},
    support::{Act, Bench, RawCaller, Received, show, texts},
};

/// Builds a batch of messages.
#[derive(Default)]
struct Batch(BytesMut);

impl Batch {
    fn parse(mut self, name: &str, text: &str) -> Self {
        frontend::parse(name, text, [], &mut self.0).expect("a short message");
        self
    }

    fn bind(mut self, portal: &str, name: &str) -> Self {
        let value = |_: i32, _: &mut BytesMut| Ok(IsNull::Yes);
        frontend::bind(portal, name, [], std::iter::empty::<i32>(), value, [], &mut self.0)
            .map_err(|_| "bind")
            .expect("a short message");
        self
    }

    fn describe(mut self, kind: u8, name: &str) -> Self {
        frontend::describe(kind, name, &mut self.0).expect("a short message");
        self
    }

    fn execute(mut self, portal: &str) -> Self {
        frontend::execute(portal, 0, &mut self.0).expect("a short message");
        self
    }

    fn close(mut self, kind: u8, name: &str) -> Self {
        frontend::close(kind, name, &mut self.0).expect("a short message");
        self
    }

    fn sync(mut self) -> Self {
        frontend::sync(&mut self.0);
        self
    }

    fn flush(mut self) -> Self {
        frontend::flush(&mut self.0);
        self
    }
}

/// Sends a batch that ends with Sync and returns the type bytes of the responses.
async fn send(caller: &mut RawCaller, batch: Batch) -> String {
    caller.write(&batch.0).await;
    caller.until_ready().await.iter().map(|(tag, _)| *tag).collect()
}

// Guards against responses to messages that the caller did not send, and against statements that are not
// prepared on the connection that runs them.
#[tokio::test]
async fn named_statements_are_prepared_where_they_are_used() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let prepare = Batch::default().parse("s", "SELECT 1").describe(b'S', "s").sync();
    assert_eq!(send(&mut caller, prepare).await, "1tTZ");
    for _ in 0..2 {
        let run = Batch::default().bind("", "s").describe(b'P', "").execute("").sync();
        assert_eq!(send(&mut caller, run).await, "2tTDCZ");
    }
    let grants = bench.router.grants();
    assert_eq!(grants.len(), 3);
    let tags = |index: usize| -> String {
        let mut tags = String::new();
        for received in &grants[index].received {
            if let Received::Message(tag, _) = received {
                tags.push(*tag);
            }
        }
        tags
    };
    assert_eq!([tags(0), tags(1), tags(2)], ["PDS", "PBDES", "PBDES"]);
    let name = texts(&grants[0])[0].split(' ').next().unwrap().to_owned();
    assert!(name.starts_with("bs_") && name.len() == 35, "{name}");
    assert!(texts(&grants[1])[0].starts_with(&name));
}

// Guards against two statements that differ only in a literal and get the same name on the connection.
#[tokio::test]
async fn statement_names_depend_on_the_whole_text() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let batch = Batch::default()
        .parse("a", "SELECT 1")
        .parse("b", "SELECT 2")
        .bind("", "a")
        .execute("")
        .bind("", "b")
        .execute("")
        .sync();
    assert_eq!(send(&mut caller, batch).await, "112DC2DCZ");
    let texts = texts(&bench.router.grants()[0]);
    let name = |index: usize| texts[index].split(' ').next().unwrap().to_owned();
    assert_ne!(name(0), name(1));
    assert_eq!((&texts[2], &texts[4]), (&name(0), &name(1)));
}

// Guards against a caller's Close that removes a prepared statement that other sessions use.
#[tokio::test]
async fn close_affects_only_its_session() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    send(&mut caller, Batch::default().parse("s", "SELECT 1").sync()).await;
    assert_eq!(send(&mut caller, Batch::default().close(b'S', "s").sync()).await, "3Z");
    assert_eq!(bench.router.grants().len(), 1);
    let batch = Batch::default().close(b'S', "s").parse("", "SELECT 1").bind("", "").sync();
    assert_eq!(send(&mut caller, batch).await, "312Z");
    assert_eq!(texts(&bench.router.grants()[1])[0], "Sbs_closed");
    // A statement that does not exist is forwarded, so that the target reports the error.
    send(&mut caller, Batch::default().bind("", "s").execute("").sync()).await;
    let grants = bench.router.grants();
    assert_eq!(texts(&grants[2])[0], "bs_missing_s");
    assert_eq!(grants[2].request.server.as_str(), "p");
}

// Guards against losing the unnamed statement when the next batch runs on another connection.
#[tokio::test]
async fn unnamed_statement_survives_its_batch() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    send(&mut caller, Batch::default().parse("", "SELECT 1").sync()).await;
    let run = Batch::default().bind("", "").execute("").sync();
    assert_eq!(send(&mut caller, run).await, "2DCZ");
    assert_eq!(texts(&bench.router.grants()[1])[0], "SELECT 1");
}

// Guards against responses in the wrong order, or of another batch, when batches are pipelined.
#[tokio::test]
async fn pipelined_batches_respond_in_order() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let batch = Batch::default()
        .parse("", "SELECT 1")
        .bind("", "")
        .execute("")
        .sync()
        .parse("", "INSERT INTO t VALUES (1)")
        .bind("", "")
        .execute("")
        .sync();
    caller.write(&batch.0).await;
    let first = show(&caller.until_ready().await);
    let second = show(&caller.until_ready().await);
    assert!(first[2].contains("near"), "{first:?}");
    assert!(second[2].ends_with('p'), "{second:?}");
    assert_eq!(bench.router.servers(), ["near", "p"]);
}

// Guards against a session that does not respond to a Flush because it waits for a Sync.
#[tokio::test]
async fn flush_responds_before_sync() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.write(&Batch::default().parse("s", "SELECT 1").describe(b'S', "s").flush().0).await;
    for expected in ['1', 't', 'T'] {
        assert_eq!(caller.next().await.unwrap().0, expected);
    }
    let rest = Batch::default().bind("", "s").execute("").sync();
    assert_eq!(send(&mut caller, rest).await, "2DCZ");
    assert_eq!(bench.router.servers(), ["near"]);
}

// Guards against a write that is sent to the replica on which the batch began.
#[tokio::test]
async fn write_after_flush_on_a_replica_is_rejected() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.write(&Batch::default().parse("", "SELECT 1").flush().0).await;
    assert_eq!(caller.next().await.unwrap().0, '1');
    let write = Batch::default().parse("", "DELETE FROM t").bind("", "").execute("").sync();
    assert_eq!(send(&mut caller, write).await, "EZ");
    assert_eq!(texts(&bench.router.grants()[0]), ["SELECT 1", ""]);
}

// Guards against running the remaining messages of a rejected batch as a separate batch.
#[tokio::test]
async fn rejected_batch_is_skipped_up_to_its_sync() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("p", Act::Refuse(FailureKind::Overloaded));
    caller.write(&Batch::default().parse("", "DELETE FROM t").flush().0).await;
    assert_eq!(caller.next().await.unwrap().0, 'E');
    let rest = Batch::default().bind("", "").execute("").sync();
    assert_eq!(send(&mut caller, rest).await, "Z");
    assert_eq!(bench.router.grants().len(), 1);
}

// Guards against acquiring a connection for a BEGIN of the extended protocol before its first statement.
#[tokio::test]
async fn extended_begin_is_deferred() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let begin = Batch::default().parse("", "BEGIN").bind("", "").describe(b'P', "").execute("");
    assert_eq!(send(&mut caller, begin.sync()).await, "12nCZ");
    assert!(bench.router.grants().is_empty());
    let run = Batch::default().parse("", "DELETE FROM t").bind("", "").execute("").sync();
    assert_eq!(send(&mut caller, run).await, "12DCZ");
    assert_eq!(texts(&bench.router.grants()[0])[0], "BEGIN");
    assert_eq!(caller.query("COMMIT").await.last().unwrap(), "ZI");
}

// Guards against classifying a portal of a read-only transaction as a write in a later batch.
#[tokio::test]
async fn portals_live_as_long_as_their_transaction() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.query("BEGIN READ ONLY").await;
    let open = Batch::default().parse("", "SELECT 1").bind("c", "").execute("c").sync();
    assert_eq!(send(&mut caller, open).await, "12DCZ");
    assert_eq!(send(&mut caller, Batch::default().execute("c").sync()).await, "DCZ");
    assert_eq!(caller.query("COMMIT").await, ["CCOMMIT", "ZI"]);
    assert_eq!(bench.router.servers(), ["near"]);
}

// Guards against COPY data that is lost or parsed as other messages.
#[tokio::test]
async fn copy_streams_to_the_primary() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let mut buffer = BytesMut::new();
    frontend::query("COPY t FROM STDIN", &mut buffer).unwrap();
    caller.write(&buffer).await;
    assert_eq!(caller.next().await.unwrap().0, 'G');
    buffer.clear();
    for _ in 0..100 {
        frontend::CopyData::new(&b"1\n"[..]).unwrap().write(&mut buffer);
    }
    frontend::copy_done(&mut buffer);
    caller.write(&buffer).await;
    assert_eq!(show(&caller.until_ready().await), ["CCOPY 1", "ZI"]);
    let grant = bench.router.grants().remove(0);
    assert_eq!(grant.request.server.as_str(), "p");
    assert_eq!(texts(&grant).len(), 102);
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against errors when a driver uses prepared statements through the proxy.
#[tokio::test]
async fn driver_prepared_statements_work() {
    let bench = Bench::open().await;
    let client = bench.connect().await;
    let statement = client.prepare("SELECT a FROM t").await.unwrap();
    for _ in 0..3 {
        let row = client.query_one(&statement, &[]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), "near");
    }
    drop(statement);
    client.execute("DELETE FROM t", &[]).await.unwrap();
    assert_eq!(bench.router.servers().last().unwrap(), "p");
}

// Guards against buffering a large result in memory while its caller does not read.
#[tokio::test]
async fn slow_reader_applies_backpressure_to_the_broker() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("near", Act::Rows(50_000));
    let mut buffer = BytesMut::new();
    frontend::query("SELECT 1", &mut buffer).unwrap();
    caller.write(&buffer).await;
    let sent = || bench.router.0.lock().unwrap().rows_sent;
    let mut before = 0;
    for _ in 0..100 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        if sent() == before && before > 0 {
            break;
        }
        before = sent();
    }
    // The socket buffers hold a few MiB of the 50 MiB.
    assert!(before < 20_000, "{before} rows were read from the broker");
    let rows = caller.until_ready().await.len();
    assert_eq!(rows, 50_003);
}

// Guards against a caller that prepares statements until the entry runs out of memory.
#[tokio::test]
async fn prepared_statements_are_bounded() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    let wide = "x".repeat(1 << 20);
    let mut prepared = 0;
    loop {
        let text = format!("SELECT '{wide}', {prepared}");
        caller.write(&Batch::default().parse(&format!("s{prepared}"), &text).sync().0).await;
        if caller.next().await.expect("a response").0 != '1' {
            break;
        }
        assert_eq!(caller.next().await.expect("a response").0, 'Z');
        prepared += 1;
        assert!(prepared <= 17, "{prepared} MiB of prepared statements are retained");
    }
    assert!(caller.next().await.is_none());
}
