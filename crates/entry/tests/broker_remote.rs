//! Grants and questions that cross hosts.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

mod broker_support;

use {
    banyansill_core::{failure::FailureKind, position::LogPosition, time::Micros},
    banyansill_entry::link::{GrantRouter, LinkInput},
    broker_support::{
        Outcome, TestHost, fake::FakeTarget, name, once, outcome, query, read, run, send, step,
        table, target, write,
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

// Host `far` brokers the primary and host `near` the replica.
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
    near.opened("r").await;
    far.opened("p").await;
    TwoHosts { near, far, primary, replica }
}

// Guards against answers, refusals and releases that get lost between hosts.
#[test]
fn remote_grants_behave_like_local_ones() {
    run(async {
        let hosts = two_hosts().await;
        let handle = &hosts.near.handle;
        assert_eq!(once(handle, write("p"), "INSERT").await.tags(), "C");
        assert_eq!(once(handle, read("p"), "ROWS 3000").await.tags().len(), 3_002);
        let mut stale = write("p");
        stale.epoch = 0;
        assert_eq!(once(handle, stale, "INSERT").await, Outcome::Refused(FailureKind::WrongEpoch));
        let mut link = handle.open(write("p"));
        step(&mut link, "BEGIN").await;
        step(&mut link, "INSERT").await;
        drop(link);
        hosts.far.quiet().await;
        assert_eq!(hosts.primary.lock().offset, 11, "the transaction was rolled back");
        let mark = handle.high_water_mark(&name("db")).await;
        assert_eq!(mark, Ok(LogPosition::new(1, 11)));
        let mut link = handle.open(write("p"));
        step(&mut link, "SET").await;
        send(&link, LinkInput::Taint).await;
        send(&link, LinkInput::Release).await;
        hosts.far.quiet().await;
        assert_eq!(hosts.primary.count("DISCARD ALL"), 1);
    });
}

// Guards against a caller who waits for a host that is gone, and against "not run" as the answer
// for a statement that was sent.
#[test]
fn a_dead_peer_is_a_refusal_before_and_a_loss_after_sending() {
    run(async {
        let hosts = two_hosts().await;
        let mut link = hosts.near.handle.open(write("p"));
        step(&mut link, "BEGIN").await;
        let mut routes = table(vec![target("p", &hosts.primary, "far", "127.0.0.1:1")]);
        routes.version = 2;
        hosts.near.publish(routes);
        let begun = Instant::now();
        let refused = once(&hosts.near.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::Unreachable));
        assert!(begun.elapsed() < Duration::from_secs(2));
        hosts.far.publish(table(Vec::new()));
        hosts.far.quiet().await;
        let lost = step(&mut link, "INSERT").await;
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
        let unconfirmed = once(&hosts.far.handle, request.clone(), "INSERT").await;
        assert_eq!(unconfirmed, Outcome::Lost(FailureKind::UnconfirmedCommit));
        assert!(begun.elapsed() >= Duration::from_millis(390));
        let replica = hosts.replica.clone();
        let catch_up = tokio::spawn(async move {
            sleep(Duration::from_millis(100)).await;
            replica.lock().offset = 12;
        });
        let begun = Instant::now();
        assert_eq!(once(&hosts.far.handle, request, "INSERT").await.tags(), "C");
        assert!(begun.elapsed() >= Duration::from_millis(100));
        catch_up.await.unwrap();
    });
}

// Guards against a commit whose confirmation keeps asking the broker that the replica had at the time of
// the commit: the caller then waits until its deadline, and a planned change of primary with it.
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
        // The commit has no broker to ask until the assignment arrives.
        let early = timeout(Duration::from_millis(300), outcome(&mut link)).await;
        assert!(early.is_err(), "{early:?}");
        let begun = Instant::now();
        hosts.far.publish(routes("near", 3));
        assert_eq!(outcome(&mut link).await.tags(), "C");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    });
}

/// Relay whose open connections can be made silent while new ones work.
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

// Guards against callers who wait for a peer connection that has gone silent while new ones work.
#[test]
fn a_silent_peer_connection_is_replaced() {
    run(async {
        let hosts = two_hosts().await;
        let (address, silenced) = relay(hosts.far.listen().await).await;
        hosts.near.publish(table(vec![target("p", &hosts.primary, "far", &address)]));
        let handle = &hosts.near.handle;
        assert_eq!(once(handle, write("p"), "INSERT").await.tags(), "C");
        let mut running = handle.open(write("p"));
        send(&running, LinkInput::Data(broker_support::query("SLEEP 5000"))).await;
        hosts.primary.until(|state| state.running == 1).await;
        silenced.send_replace(1);
        let begun = Instant::now();
        let lost = outcome(&mut running).await;
        assert_eq!(lost, Outcome::Lost(FailureKind::ConnectionLost));
        assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
        assert_eq!(once(handle, write("p"), "INSERT").await.tags(), "C");
        sleep(Duration::from_millis(450)).await;
        silenced.send_replace(2);
        let begun = Instant::now();
        assert_eq!(once(handle, write("p"), "INSERT").await.tags(), "C");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        silenced.send_replace(3);
        let mark = handle.high_water_mark(&name("db")).await;
        assert_eq!(mark, Ok(LogPosition::new(1, 13)));
        assert_eq!(hosts.primary.count("INSERT"), 3, "each order ran once");
    });
}
