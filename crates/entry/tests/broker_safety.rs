//! Lease, terms, floors, probes and orders of a broker.

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
        Outcome, TestHost, fake::FakeTarget, name, of_route, once, outcome, query, read, run, send,
        step, table, target, write,
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

fn change<F>(table: &RouteTable, version: u64, edit: F) -> RouteTable
where
    F: FnOnce(&mut DatabaseRoute),
{
    let mut route = DatabaseRoute::clone(&table.databases["db"]);
    edit(&mut route);
    RouteTable { version, ..of_route(route) }
}

async fn group() -> Group {
    let primary = FakeTarget::start("primary").await;
    let replica = FakeTarget::start("replica").await;
    let host = TestHost::start("a", routes(&primary, &replica));
    host.opened("p").await;
    host.opened("r").await;
    Group { host, primary, replica }
}

// Guards against work, acknowledgements and open connections without a node lease.
#[test]
fn a_lost_lease_stops_everything() {
    run(async {
        let fake = FakeTarget::start("primary").await;
        let clock = MonotonicClock::start();
        let lease = NodeLease::new(clock);
        lease.extend(Micros::from_millis(500));
        let routes = table(vec![target("p", &fake, "a", "")]);
        let host = TestHost::start_with("a", routes, clock, lease.clone());
        host.opened("p").await;
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        let mut open = host.handle.open(write("p"));
        step(&mut open, "BEGIN").await;
        let mut pinned = host.handle.open(read("p"));
        step(&mut pinned, "ROWS 1").await;
        sleep(Duration::from_millis(200)).await;
        assert!(lease.is_valid());
        assert_eq!(outcome(&mut running).await, Outcome::Lost(FailureKind::LeaseLost));
        assert!(!lease.is_valid());
        assert_eq!(outcome(&mut open).await, Outcome::Lost(FailureKind::TransactionLost));
        assert_eq!(outcome(&mut pinned).await, Outcome::Refused(FailureKind::NoLease));
        let refused = once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoLease));
        assert_eq!(host.handle.high_water_mark(&name("db")).await, Err(FailureKind::NoLease));
        host.reported("p", |report| report.open_connections == 0).await;
        assert_eq!(fake.lock().offset, 10);
        lease.extend(clock.now() + Micros::from_secs(60));
        host.opened("p").await;
        assert_eq!(once(&host.handle, write("p"), "INSERT").await.tags(), "C");
    });
}

// Guards against a write that a replaced primary acknowledges, and against a fence that is
// reported too early or never.
#[test]
fn a_closed_term_acknowledges_nothing_more() {
    run(async {
        let group = group().await;
        let host = &group.host;
        host.reported("p", |report| report.fenced_term == 0).await;
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        sleep(Duration::from_millis(50)).await;
        let before = routes(&group.primary, &group.replica);
        host.publish(change(&before, 2, |route| route.closed = true));
        assert_eq!(outcome(&mut running).await, Outcome::Lost(FailureKind::PrimaryReplaced));
        host.reported("p", |report| report.fenced_term == 1).await;
        let refused = once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoPrimary));
        let refused = once(&host.handle, read("p"), "ROWS 1").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::NoPrimary));
        assert!(host.handle.high_water_mark(&name("db")).await.is_err());
        assert_eq!(group.primary.lock().offset, 10);
        assert_eq!(once(&host.handle, read("r"), "ROWS 1").await.tags(), "TDC");
    });
}

// Guards against a promotion that nobody carries out, a returning primary that is left alone, and
// writes under a term that the sender does not know.
#[test]
fn orders_follow_the_route_table() {
    run(async {
        let group = group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        host.publish(change(&before, 2, |route| {
            route.closed = true;
            route.candidate = Some("r".into());
        }));
        host.reported("r", |report| {
            report.role == 1 && report.position.is_some_and(|position| position.term == 2)
        })
        .await;
        assert_eq!(group.primary.lock().role, "primary");
        host.publish(change(&before, 3, |route| {
            route.term = LogTerm(2);
            route.primary = Some("r".into());
            route.history.push(TermStart { term: LogTerm(2), start: LogPosition::new(1, 10) });
        }));
        host.reported("p", |report| report.role == 2).await;
        assert_eq!(group.primary.lock().term, 2);
        let refused = once(&host.handle, write("r"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::WrongEpoch));
        let mut request = write("r");
        request.term = 2;
        assert_eq!(once(&host.handle, request, "INSERT").await.tags(), "C");
        assert_eq!(host.handle.high_water_mark(&name("db")).await, Ok(LogPosition::new(2, 12)));
        let mut lost = read("r");
        lost.floor = Some(LogPosition::new(1, 11));
        let refused = once(&host.handle, lost, "ROWS 1").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::HistoryLost));
    });
}

// Guards against answers below the session's floor or older than allowed, and against reads that
// wait for a replica longer than a fifth of their deadline.
#[test]
fn replicas_serve_reads_only_at_the_floor() {
    run(async {
        let group = group().await;
        let handle = &group.host.handle;
        let mut request = read("r");
        request.floor = Some(LogPosition::new(1, 11));
        request.deadline = Micros::from_millis(200);
        let begun = Instant::now();
        let refused = once(handle, request.clone(), "ROWS 9").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::TooStale));
        assert!(begun.elapsed() >= Duration::from_millis(40));
        assert!(begun.elapsed() < Duration::from_millis(100));
        let replica = group.replica.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(20)).await;
            replica.lock().offset = 11;
        });
        assert_eq!(once(handle, request, "ROWS 1").await.tags(), "TDC");
        let mut request = read("r");
        request.max_age = Some(Micros::from_millis(300));
        group.replica.lock().age_ms = 1_000;
        sleep(Duration::from_millis(400)).await;
        let refused = once(handle, request.clone(), "ROWS 9").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::TooStale));
        assert_eq!(group.replica.count("ROWS 9"), 0);
        group.replica.lock().age_ms = 50;
        assert_eq!(once(handle, request, "ROWS 1").await.tags(), "TDC");
    });
}

// Guards against a silent target that counts as reachable, and against a verdict after one missed
// probe on one connection.
#[test]
fn probes_judge_on_a_fresh_connection() {
    run(async {
        let group = group().await;
        let host = &group.host;
        {
            let mut state = group.primary.lock();
            let started = i32::try_from(state.started).unwrap();
            // Every connection so far goes mute, among them the probe's.
            state.mute.extend(1..=started);
        }
        sleep(Duration::from_millis(1_200)).await;
        let reports = host.handle.reports().borrow().clone();
        assert!(reports.iter().all(|report| report.reachable), "{reports:?}");
        // The mute pooled connections were found by their verification or are found now.
        sleep(Duration::from_millis(1_500)).await;
        for _ in 0..6 {
            assert_eq!(once(&host.handle, read("p"), "ROWS 1").await.tags(), "TDC");
        }
        group.primary.lock().silent = true;
        host.reported("p", |report| !report.reachable && report.unreachable_ms >= 500).await;
        let begun = Instant::now();
        let refused = once(&host.handle, write("p"), "INSERT").await;
        assert_eq!(refused, Outcome::Refused(FailureKind::Unreachable));
        assert!(begun.elapsed() < Duration::from_millis(100));
        group.primary.lock().silent = false;
        host.reported("p", |report| report.reachable && report.role == 1).await;
        assert_eq!(once(&host.handle, write("p"), "INSERT").await.tags(), "C");
    });
}

// Guards against a planned move that interrupts running work, and against two brokers with open
// connections at a time.
#[test]
fn a_released_broker_ends_its_work_first() {
    run(async {
        let group = group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 400"))).await;
        sleep(Duration::from_millis(50)).await;
        host.publish(change(&before, 2, |route| {
            for target in &mut route.targets {
                target.broker = "".into();
            }
        }));
        host.reported("r", |report| report.open_connections == 0).await;
        host.reported("p", |report| report.open_connections == 1).await;
        assert_eq!(outcome(&mut running).await.tags(), "C");
        send(&running, LinkInput::Release).await;
        host.reported("p", |report| report.open_connections == 0).await;
        // The target sees the end of a connection a moment later.
        let begun = Instant::now();
        while group.primary.open() > 0 {
            assert!(begun.elapsed() < Duration::from_secs(1), "connections stay open");
            sleep(Duration::from_millis(5)).await;
        }
        host.publish(change(&before, 3, |route| {
            for target in &mut route.targets {
                target.epoch = 2;
            }
        }));
        host.reported("p", |report| report.epoch == 2 && report.open_connections > 1).await;
        let mut request = write("p");
        request.epoch = 2;
        assert_eq!(once(&host.handle, request, "INSERT").await.tags(), "C");
    });
}

// Guards against work that a moved assignment leaves running beside the new broker.
#[test]
fn a_moved_assignment_closes_at_once() {
    run(async {
        let group = group().await;
        let host = &group.host;
        let before = routes(&group.primary, &group.replica);
        let mut running = host.handle.open(write("p"));
        send(&running, LinkInput::Data(query("SLEEP 3000"))).await;
        sleep(Duration::from_millis(50)).await;
        host.publish(change(&before, 2, |route| {
            for target in &mut route.targets {
                target.broker = "b".into();
                target.broker_address = "127.0.0.1:1".into();
                target.epoch = 2;
            }
        }));
        assert!(matches!(outcome(&mut running).await, Outcome::Lost(_)));
        host.reported("p", |report| report.open_connections == 0).await;
    });
}
