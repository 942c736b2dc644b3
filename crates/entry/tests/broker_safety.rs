//! Node lease, terms, session floors, probes, promotion and reassignment of a broker.

mod broker_support;

use {
    banyansill_core::{
        failure::FailureKind,
        position::{LogPosition, LogTerm},
        route::{DatabaseRoute, RouteTable, TermStart},
        time::Micros,
    },
    banyansill_entry::{
        lease::NodeLease,
        link::{GrantRouter, LinkInput},
    },
    banyansill_runtime::clock::MonotonicClock,
    broker_support::{
        Outcome, TestHost, fake::FakeTarget, outcome, query, query_once, read, run, run_query,
        send, shared_name, table, table_with_route, target, write,
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

struct Group {
    host: TestHost,
    primary: FakeTarget,
    replica: FakeTarget,
}

fn routes(primary: &FakeTarget, replica: &FakeTarget) -> RouteTable {
    table(vec![target("p", primary, "a", ""), target("r", replica, "a", "")])
}

fn edit_route<F>(table: &RouteTable, version: u64, edit: F) -> RouteTable
where
    F: FnOnce(&mut DatabaseRoute),
{
    let mut route = DatabaseRoute::clone(&table.databases["db"]);
    edit(&mut route);
    RouteTable { version, ..table_with_route(route) }
}

async fn start_group() -> Group {
    let primary = FakeTarget::start("primary").await;
    let replica = FakeTarget::start("replica").await;
    let host = TestHost::start("a", routes(&primary, &replica));
    host.wait_until_connected("p").await;
    host.wait_until_connected("r").await;
    Group { host, primary, replica }
}

// Guards against running statements, acknowledgements and open connections without a node lease.
#[test]
fn a_lost_lease_stops_everything() {
    run(async {
        let fake = FakeTarget::start("primary").await;
        let clock = MonotonicClock::start();
        let lease = NodeLease::new(clock);
        lease.extend(Micros::from_millis(500));
        let routes = table(vec![target("p", &fake, "a", "")]);
        let host = TestHost::start_with("a", routes, clock, lease.clone());
        host.wait_until_connected("p").await;
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        let mut open = host.handle.open(write("p"));
        run_query(&mut open, "BEGIN").await;
        let mut pinned = host.handle.open(read("p"));
        run_query(&mut pinned, "ROWS 1").await;
        sleep(Duration::from_millis(200)).await;
        assert!(lease.is_valid());
        assert_eq!(outcome(&mut running).await, Outcome::Lost(FailureKind::LeaseLost));
        assert!(!lease.is_valid());
        assert_eq!(outcome(&mut open).await, Outcome::Lost(FailureKind::TransactionLost));
        assert_eq!(outcome(&mut pinned).await, Outcome::Refused(FailureKind::NoLease));
        let refused = query_once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoLease));
        assert_eq!(
            host.handle.high_water_mark(&shared_name("db")).await,
            Err(FailureKind::NoLease)
        );
        host.wait_for_report("p", |report| report.open_connections == 0).await;
        assert_eq!(fake.lock().offset, 10);
        lease.extend(clock.now() + Micros::from_secs(60));
        host.wait_until_connected("p").await;
        assert_eq!(query_once(&host.handle, write("p"), "INSERT").await.tags(), "C");
    });
}

// Guards against a write that a replaced primary acknowledges, and against a fence that is
// reported too early or never.
#[test]
fn a_closed_term_acknowledges_nothing_more() {
    run(async {
        let group = start_group().await;
        let host = &group.host;
        host.wait_for_report("p", |report| report.fenced_term == 0).await;
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        sleep(Duration::from_millis(50)).await;
        let before = routes(&group.primary, &group.replica);
        host.publish(edit_route(&before, 2, |route| route.closed = true));
        assert_eq!(outcome(&mut running).await, Outcome::Lost(FailureKind::PrimaryReplaced));
        host.wait_for_report("p", |report| report.fenced_term == 1).await;
        let refused = query_once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoPrimary));
        let refused = query_once(&host.handle, read("p"), "ROWS 1").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoPrimary));
        assert!(host.handle.high_water_mark(&shared_name("db")).await.is_err());
        assert_eq!(group.primary.lock().offset, 10);
        assert_eq!(query_once(&host.handle, read("r"), "ROWS 1").await.tags(), "TDC");
    });
}

// Guards against a promotion that is not carried out, a returning old primary that does not become
// a replica, and writes of a sender that does not know the current term.
#[test]
fn promotion_and_demotion_follow_the_route_table() {
    run(async {
        let group = start_group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        host.publish(edit_route(&before, 2, |route| {
            route.closed = true;
            route.candidate = Some("r".into());
        }));
        host.wait_for_report("r", |report| {
            report.role == 1 && report.position.is_some_and(|position| position.term == 2)
        })
        .await;
        assert_eq!(group.primary.lock().role, "primary");
        host.publish(edit_route(&before, 3, |route| {
            route.term = LogTerm(2);
            route.primary = Some("r".into());
            route.history.push(TermStart { term: LogTerm(2), start: LogPosition::new(1, 10) });
        }));
        host.wait_for_report("p", |report| report.role == 2).await;
        assert_eq!(group.primary.lock().term, 2);
        let refused = query_once(&host.handle, write("r"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::WrongEpoch));
        let mut request = write("r");
        request.term = 2;
        assert_eq!(query_once(&host.handle, request, "INSERT").await.tags(), "C");
        assert_eq!(
            host.handle.high_water_mark(&shared_name("db")).await,
            Ok(LogPosition::new(2, 12))
        );
        let mut lost = read("r");
        lost.floor = Some(LogPosition::new(1, 11));
        let refused = query_once(&host.handle, lost, "ROWS 1").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::HistoryLost));
    });
}

// Guards against answers below the session's floor or older than allowed, and against reads that
// wait for a replica longer than a fifth of their deadline.
#[test]
fn replicas_serve_reads_only_at_the_floor() {
    run(async {
        let group = start_group().await;
        let handle = &group.host.handle;
        let mut request = read("r");
        request.floor = Some(LogPosition::new(1, 11));
        request.deadline = Micros::from_millis(200);
        let begun = Instant::now();
        let refused = query_once(handle, request.clone(), "ROWS 9").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::TooStale));
        assert!(begun.elapsed() >= Duration::from_millis(40));
        assert!(begun.elapsed() < Duration::from_millis(100));
        let replica = group.replica.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(20)).await;
            replica.lock().offset = 11;
        });
        assert_eq!(query_once(handle, request, "ROWS 1").await.tags(), "TDC");
        let mut request = read("r");
        request.max_age = Some(Micros::from_millis(300));
        group.replica.lock().age_ms = 1_000;
        sleep(Duration::from_millis(400)).await;
        let refused = query_once(handle, request.clone(), "ROWS 9").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::TooStale));
        assert_eq!(group.replica.count("ROWS 9"), 0);
        group.replica.lock().age_ms = 50;
        assert_eq!(query_once(handle, request, "ROWS 1").await.tags(), "TDC");
    });
}

// Guards against an unresponsive target that counts as reachable, and against a target that counts
// as unreachable after one missed probe on one connection.
#[test]
fn probes_decide_reachability_on_a_new_connection() {
    run(async {
        let group = start_group().await;
        let host = &group.host;
        {
            let mut state = group.primary.lock();
            let started = i32::try_from(state.connections_started).unwrap();
            // All connections so far stop answering, including the one for probes.
            state.muted_connections.extend(1..=started);
        }
        sleep(Duration::from_millis(1_200)).await;
        let reports = host.handle.reports().borrow().clone();
        assert!(reports.iter().all(|report| report.reachable), "{reports:?}");
        // The unresponsive pooled connections have failed their check by now, or fail it here.
        sleep(Duration::from_millis(1_500)).await;
        for _ in 0..6 {
            assert_eq!(query_once(&host.handle, read("p"), "ROWS 1").await.tags(), "TDC");
        }
        group.primary.lock().silent = true;
        host.wait_for_report("p", |report| !report.reachable && report.unreachable_ms >= 500).await;
        let begun = Instant::now();
        let refused = query_once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::Unreachable));
        assert!(begun.elapsed() < Duration::from_millis(100));
        group.primary.lock().silent = false;
        host.wait_for_report("p", |report| report.reachable && report.role == 1).await;
        assert_eq!(query_once(&host.handle, write("p"), "INSERT").await.tags(), "C");
    });
}

// Guards against a planned reassignment that interrupts running statements, and against two
// brokers with open connections at the same time.
#[test]
fn a_planned_reassignment_lets_statements_finish() {
    run(async {
        let group = start_group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 400"))).await;
        sleep(Duration::from_millis(50)).await;
        host.publish(edit_route(&before, 2, |route| {
            for target in &mut route.targets {
                target.broker = "".into();
            }
        }));
        host.wait_for_report("r", |report| report.open_connections == 0).await;
        host.wait_for_report("p", |report| report.open_connections == 1).await;
        assert_eq!(outcome(&mut running).await.tags(), "C");
        send(&running, LinkInput::Release).await;
        host.wait_for_report("p", |report| report.open_connections == 0).await;
        // The target detects the end of a connection slightly later.
        let begun = Instant::now();
        while group.primary.open_connections() > 0 {
            assert!(begun.elapsed() < Duration::from_secs(1), "connections stay open");
            sleep(Duration::from_millis(5)).await;
        }
        host.publish(edit_route(&before, 3, |route| {
            for target in &mut route.targets {
                target.epoch = 2;
            }
        }));
        host.wait_for_report("p", |report| report.epoch == 2 && report.open_connections > 1).await;
        let mut request = write("p");
        request.epoch = 2;
        assert_eq!(query_once(&host.handle, request, "INSERT").await.tags(), "C");
    });
}

// Guards against statements that keep running on the old broker after a reassignment.
#[test]
fn an_immediate_reassignment_closes_connections_at_once() {
    run(async {
        let group = start_group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        sleep(Duration::from_millis(50)).await;
        host.publish(edit_route(&before, 2, |route| {
            for target in &mut route.targets {
                target.broker = "b".into();
                target.broker_address = "127.0.0.1:1".into();
                target.epoch = 2;
            }
        }));
        assert!(matches!(outcome(&mut running).await, Outcome::Lost(_)));
        host.wait_for_report("p", |report| report.open_connections == 0).await;
    });
}
