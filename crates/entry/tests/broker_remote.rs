//! Grants and high-water mark requests between hosts.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

mod broker_support;

use {
    banyansill_core::{failure::FailureKind, position::LogPosition, time::Micros},
    banyansill_entry::link::{GrantRouter, LinkInput},
    broker_support::{
        Outcome, TestHost, fake::FakeTarget, outcome, query, query_once, read, run, run_query,
        send, shared_name, table, target, write,
    },
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, timeout},
    },
};

struct TwoHosts {
    near: TestHost,
    far: TestHost,
    primary: FakeTarget,
    replica: FakeTarget,
}

// Host `far` runs the broker of the primary and host `near` that of the replica.
async fn two_hosts() -> TwoHosts {
    let primary = FakeTarget::start("primary").await;
    let replica = FakeTarget::start("replica").await;
    let empty = || table(Vec::new());
    let (near, far) = (TestHost::start("near", empty()), TestHost::start("far", empty()));
    let (near_address, far_address) = (near.listen().await, far.listen().await);
    let routes = table(vec![
        target("p", &primary, "far", &far_address),
        target("r", &replica, "near", &near_address),
    ]);
    near.publish(routes.clone());
    far.publish(routes);
    near.wait_until_connected("r").await;
    far.wait_until_connected("p").await;
    TwoHosts { near, far, primary, replica }
}

// Guards against answers, refusals and releases that are lost between hosts.
#[test]
fn remote_grants_behave_like_local_ones() {
    run(async {
        let hosts = two_hosts().await;
        let handle = &hosts.near.handle;
        assert_eq!(query_once(handle, write("p"), "INSERT").await.tags(), "C");
        assert_eq!(query_once(handle, read("p"), "ROWS 3000").await.tags().len(), 3_002);
        let mut stale = write("p");
        stale.epoch = 0;
        assert_eq!(
            query_once(handle, stale, "INSERT").await,
            Outcome::Refused(FailureKind::WrongEpoch)
        );
        let mut link = handle.open(write("p"));
        run_query(&mut link, "BEGIN").await;
        run_query(&mut link, "INSERT").await;
        drop(link);
        hosts.far.wait_for_no_grants().await;
        assert_eq!(hosts.primary.lock().offset, 11, "the transaction was rolled back");
        let mark = handle.high_water_mark(&shared_name("db")).await;
        assert_eq!(mark, Ok(LogPosition::new(1, 11)));
        let mut link = handle.open(write("p"));
        run_query(&mut link, "SET").await;
        send(&link, LinkInput::Taint).await;
        send(&link, LinkInput::Release).await;
        hosts.far.wait_for_no_grants().await;
        assert_eq!(hosts.primary.count("DISCARD ALL"), 1);
    });
}

// Guards against a caller that waits for a host that is down, and against a statement that is
// reported as not run although it was sent.
#[test]
fn an_unreachable_peer_refuses_new_grants_and_loses_sent_statements() {
    run(async {
        let hosts = two_hosts().await;
        let mut link = hosts.near.handle.open(write("p"));
        run_query(&mut link, "BEGIN").await;
        let mut routes = table(vec![target("p", &hosts.primary, "far", "127.0.0.1:1")]);
        routes.version = 2;
        hosts.near.publish(routes);
        let begun = Instant::now();
        let refused = query_once(&hosts.near.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::Unreachable));
        assert!(begun.elapsed() < Duration::from_secs(2));
        hosts.far.publish(table(Vec::new()));
        hosts.far.wait_for_no_grants().await;
        let lost = run_query(&mut link, "INSERT").await;
        assert_eq!(lost, Outcome::Lost(FailureKind::TransactionLost));
    });
}

// Guards against commits that are acknowledged while only the primary has them.
#[test]
fn replica_ack_waits_for_a_second_server() {
    run(async {
        let hosts = two_hosts().await;
        let mut request = write("p");
        request.replica_ack = true;
        request.deadline = Micros::from_millis(400);
        let begun = Instant::now();
        let unconfirmed = query_once(&hosts.far.handle, request.clone(), "INSERT").await;
        assert_eq!(unconfirmed, Outcome::Lost(FailureKind::UnconfirmedCommit));
        assert!(begun.elapsed() >= Duration::from_millis(390));
        let replica = hosts.replica.clone();
        let catch_up = tokio::spawn(async move {
            sleep(Duration::from_millis(100)).await;
            replica.lock().offset = 12;
        });
        let begun = Instant::now();
        assert_eq!(query_once(&hosts.far.handle, request, "INSERT").await.tags(), "C");
        assert!(begun.elapsed() >= Duration::from_millis(100));
        catch_up.await.unwrap();
    });
}

// Guards against a commit confirmation that keeps polling the broker that the replica had at the
// time of the commit: the caller, and a planned change of primary, then wait until the deadline.
#[test]
fn replica_ack_follows_a_change_of_the_replicas_broker() {
    run(async {
        let hosts = two_hosts().await;
        let near_address = hosts.near.listen().await;
        let routes = |broker: &str, version: u64| {
            let mut routes = table(vec![
                target("p", &hosts.primary, "far", "127.0.0.1:1"),
                target("r", &hosts.replica, broker, &near_address),
            ]);
            routes.version = version;
            routes
        };
        hosts.far.publish(routes("", 2));
        hosts.replica.lock().offset = 1_000;
        let mut request = write("p");
        request.replica_ack = true;
        let mut link = hosts.far.handle.open(request);
        send(&link, LinkInput::Data(query("INSERT"))).await;
        // No broker can confirm the commit until the assignment arrives.
        let early = timeout(Duration::from_millis(300), outcome(&mut link)).await;
        assert!(early.is_err(), "{early:?}");
        let begun = Instant::now();
        hosts.far.publish(routes("near", 3));
        assert_eq!(outcome(&mut link).await.tags(), "C");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    });
}

/// Starts a TCP relay. Connections numbered up to the value in the returned channel stop
/// forwarding data but stay open; later ones work.
async fn relay(address: String) -> (String, tokio::sync::watch::Sender<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = listener.local_addr().unwrap().to_string();
    let (silenced, silence) = tokio::sync::watch::channel(0);
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((mut near, _)) = listener.accept().await {
            number += 1;
            let (mut silence, address, number) = (silence.clone(), address.clone(), number);
            tokio::spawn(async move {
                let mut far = TcpStream::connect(address).await.unwrap();
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let silent = async { silence.wait_for(|silent| *silent >= number).await.is_ok() };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                    _ = silent => {}
                }
                std::future::pending::<()>().await;
            });
        }
    });
    (own, silenced)
}

// Guards against callers that wait on an unresponsive peer connection while new ones work.
#[test]
fn a_silent_peer_connection_is_replaced() {
    run(async {
        let hosts = two_hosts().await;
        let (address, silenced) = relay(hosts.far.listen().await).await;
        hosts.near.publish(table(vec![target("p", &hosts.primary, "far", &address)]));
        let handle = &hosts.near.handle;
        assert_eq!(query_once(handle, write("p"), "INSERT").await.tags(), "C");
        let mut running = handle.open(write("p"));
        send(&running, LinkInput::Data(broker_support::query("SLEEP 5000"))).await;
        hosts.primary.wait_until(|state| state.running == 1).await;
        silenced.send_replace(1);
        let begun = Instant::now();
        let lost = outcome(&mut running).await;
        assert_eq!(lost, Outcome::Lost(FailureKind::ConnectionLost));
        assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
        assert_eq!(query_once(handle, write("p"), "INSERT").await.tags(), "C");
        sleep(Duration::from_millis(450)).await;
        silenced.send_replace(2);
        let begun = Instant::now();
        assert_eq!(query_once(handle, write("p"), "INSERT").await.tags(), "C");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        silenced.send_replace(3);
        let mark = handle.high_water_mark(&shared_name("db")).await;
        assert_eq!(mark, Ok(LogPosition::new(1, 13)));
        assert_eq!(hosts.primary.count("INSERT"), 3, "each insert ran once");
    });
}
