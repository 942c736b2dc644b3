//! Transactions: each runs on one grant, and the caller gets an accurate error when it is lost.

mod support;

use {
    banyansill_core::{failure::FailureKind, time::Micros},
    banyansill_entry::{lease::NodeLease, link::GrantAccess},
    banyansill_runtime::clock::MonotonicClock,
    support::{Act, Bench, Received, texts},
};

// Guards against a transaction that is spread over grants, or whose grant is kept after its end.
#[tokio::test]
async fn transaction_runs_on_one_grant() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    assert_eq!(caller.query("BEGIN").await, ["CBEGIN", "ZT"]);
    assert!(bench.router.grants().is_empty());
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZT");
    assert_eq!(
        caller.query("/* kind=order */ INSERT INTO t VALUES (1)").await.last().unwrap(),
        "ZT"
    );
    assert_eq!(caller.query("COMMIT").await, ["CCOMMIT", "ZI"]);
    bench.router.wait_for(|grants| grants[0].received.last() == Some(&Received::Release)).await;
    let grant = bench.router.grants().remove(0);
    assert_eq!(grant.request.server.as_str(), "p");
    assert_eq!(grant.request.access, GrantAccess::Write);
    let expected = ["BEGIN", "SELECT 1", "/* kind=order */ INSERT INTO t VALUES (1)", "COMMIT"];
    assert_eq!(texts(&grant), expected);
    caller.query("SELECT 1").await;
    assert_eq!(bench.router.servers(), ["p", "near"]);
}

// Guards against a write of the kind `order` that is acknowledged by the primary alone because a read came
// first in the transaction.
#[tokio::test]
async fn transaction_takes_the_strictest_ack() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.query("BEGIN").await;
    caller.query("SELECT 1").await;
    assert!(bench.router.grants()[0].request.replica_ack);
    let mut other = bench.raw().await;
    other.query("INSERT INTO t VALUES (1)").await;
    assert!(!bench.router.grants()[1].request.replica_ack);
}

// Guards against read-only transactions that load the primary, and against writes on a replica.
#[tokio::test]
async fn read_only_transaction_runs_on_a_replica() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.query("BEGIN READ ONLY").await;
    caller.query("SELECT 1").await;
    let rejected = caller.query("INSERT INTO t VALUES (1)").await;
    assert!(rejected[0].contains("C42501"), "{rejected:?}");
    assert_eq!(rejected[1], "ZE");
    assert_eq!(caller.query("ROLLBACK").await, ["CROLLBACK", "ZI"]);
    assert_eq!(bench.router.servers(), ["near"]);
    bench.router.wait_for(|grants| grants[0].received.last() == Some(&Received::Dropped)).await;
}

// Guards against statements that run outside their transaction after it was lost.
#[tokio::test]
async fn lost_transaction_rejects_statements_until_it_ends() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("p", Act::LoseSecond(FailureKind::ConnectionLost));
    caller.query("BEGIN").await;
    caller.query("INSERT INTO t VALUES (1)").await;
    let lost = caller.query("INSERT INTO t VALUES (2)").await;
    assert!(lost[0].contains("C40001") && lost[0].contains("transaction-lost"), "{lost:?}");
    assert_eq!(lost[1], "ZE");
    let after = caller.query("INSERT INTO t VALUES (3)").await;
    assert!(after[0].contains("C25P02"), "{after:?}");
    assert_eq!(caller.query("COMMIT").await, ["CROLLBACK", "ZI"]);
    assert_eq!(bench.router.servers(), ["p"]);
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
}

// Guards against a commit whose outcome is unknown and that is reported as rolled back.
#[tokio::test]
async fn lost_commit_is_unknown() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("p", Act::LoseSecond(FailureKind::PrimaryReplaced));
    caller.query("BEGIN").await;
    caller.query("INSERT INTO t VALUES (1)").await;
    let lost = caller.query("COMMIT").await;
    assert!(lost[0].contains("C40003") && lost[0].contains("primary-replaced"), "{lost:?}");
    assert_eq!(lost[1], "ZI");
    bench.router.act("p", Act::LoseSecond(FailureKind::ConnectionLost));
    caller.query("BEGIN").await;
    caller.query("INSERT INTO t VALUES (1)").await;
    let rolled_back = caller.query("ROLLBACK").await;
    assert!(rolled_back[0].contains("transaction-lost") && rolled_back[1] == "ZI");
}

// Guards against a transaction that fails although only its BEGIN was sent.
#[tokio::test]
async fn rejected_transaction_is_retried_on_another_target() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    bench.router.act("near", Act::Refuse(FailureKind::Leaving));
    caller.query("BEGIN READ ONLY").await;
    assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZT");
    assert_eq!(bench.router.servers(), ["near", "far"]);
    assert_eq!(texts(&bench.router.grants()[1]), ["BEGIN READ ONLY", "SELECT 1"]);
}

// Guards against a transaction that stays open on a target after its caller has disconnected.
#[tokio::test]
async fn disconnect_drops_the_grant() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    caller.query("BEGIN").await;
    caller.query("INSERT INTO t VALUES (1)").await;
    drop(caller);
    bench.router.wait_for(|grants| grants[0].received.last() == Some(&Received::Dropped)).await;
    bench.router.act("p", Act::Silent);
    let mut caller = bench.raw().await;
    let mut buffer = bytes::BytesMut::new();
    postgres_protocol::message::frontend::query("INSERT INTO t VALUES (1)", &mut buffer).unwrap();
    caller.write(&buffer).await;
    bench.router.wait_for(|grants| grants.len() == 2 && grants[1].received.len() == 1).await;
    drop(caller);
    bench.router.wait_for(|grants| grants[1].received.last() == Some(&Received::Dropped)).await;
}

// Guards against acquiring a connection for a transaction without statements, and against wrong transaction
// status bytes.
#[tokio::test]
async fn empty_transactions_need_no_target() {
    let bench = Bench::open().await;
    let mut caller = bench.raw().await;
    for (text, response) in [
        ("BEGIN", ["CBEGIN", "ZT"]),
        ("BEGIN", ["CBEGIN", "ZT"]),
        ("", ["I", "ZT"]),
        ("COMMIT", ["CCOMMIT", "ZI"]),
        ("ROLLBACK", ["CROLLBACK", "ZI"]),
        (";", ["I", "ZI"]),
    ] {
        assert_eq!(caller.query(text).await, response, "{text}");
    }
    assert!(bench.router.grants().is_empty());
}

// Guards against errors in a driver's transactions because BEGIN is deferred.
#[tokio::test]
async fn driver_transactions_work() {
    let bench = Bench::open().await;
    let mut client = bench.connect().await;
    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT INTO t VALUES ($1)", &[]).await.unwrap();
    transaction.commit().await.unwrap();
    let transaction = client.build_transaction().read_only(true).start().await.unwrap();
    let row = transaction.query_one("SELECT 1", &[]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "near");
    transaction.rollback().await.unwrap();
    assert_eq!(bench.router.servers(), ["p", "near"]);
}

// Guards against statements that run outside a transaction because theirs was lost while its caller was idle,
// and against a COMMIT that is then reported as successful.
#[tokio::test]
async fn transaction_lost_while_idle_is_reported() {
    let bench = Bench::open().await;
    for text in ["COMMIT", "INSERT INTO t VALUES (2)"] {
        let mut caller = bench.raw().await;
        bench.router.act("p", Act::LoseIdle(FailureKind::ConnectionLost));
        caller.query("BEGIN").await;
        caller.query("INSERT INTO t VALUES (1)").await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        let lost = caller.query(text).await;
        assert!(lost[0].contains("C40001"), "{text}: {lost:?}");
        caller.query("ROLLBACK").await;
        assert_eq!(caller.query("SELECT 1").await.last().unwrap(), "ZI");
    }
}

// Guards against an idle transaction that holds a connection to a target indefinitely.
#[tokio::test]
async fn idle_transactions_time_out() {
    let timeout = std::time::Duration::from_millis(100);
    let bench = Bench::open_with(|settings| settings.transaction_timeout = timeout).await;
    let mut caller = bench.raw().await;
    caller.query("BEGIN").await;
    caller.query("INSERT INTO t VALUES (1)").await;
    let (tag, _) = caller.next().await.unwrap();
    assert_eq!(tag, 'E');
    assert!(caller.next().await.is_none());
}

// Guards against an entry that forwards a COMMIT after its lease has expired.
#[tokio::test]
async fn commit_needs_the_lease() {
    let bench = Bench::open().await;
    let lease = NodeLease::new(MonotonicClock::start());
    lease.extend(Micros::from_secs(2));
    let handle = support::bind_with_lease(&bench, lease.clone()).await;
    let mut caller = support::RawCaller::open(handle.address()).await;
    caller.start().await;
    caller.query("BEGIN").await;
    assert_eq!(caller.query("INSERT INTO t VALUES (1)").await.last().unwrap(), "ZT");
    tokio::time::sleep(lease.remaining().as_duration()).await;
    let rejected = caller.query("COMMIT").await;
    assert!(rejected[0].contains("no-lease") && rejected[1] == "ZE", "{rejected:?}");
    bench.router.wait_for(|grants| grants[0].received.last() == Some(&Received::Dropped)).await;
    assert_eq!(texts(&bench.router.grants()[0]), ["BEGIN", "INSERT INTO t VALUES (1)"]);
    assert_eq!(caller.query("ROLLBACK").await, ["CROLLBACK", "ZI"]);
}
