//! Which announcements an entry accepts, and what its heartbeats report about them.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        position::LogTerm,
        route::{DatabaseRoute, RouteTable, TargetRole, TargetRoute},
        time::Micros,
    },
    banyansill_entry::{
        announcements::{AnnounceRefusal, AnnouncementRegistry},
        lease::NodeLease,
    },
    banyansill_runtime::clock::MonotonicClock,
    banyansill_wire::v1,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

struct TestRegistry {
    registry: AnnouncementRegistry,
    lease: NodeLease,
    routes: watch::Sender<Arc<RouteTable>>,
}

fn routes(broker: &str, term: u64) -> Arc<RouteTable> {
    let target = TargetRoute {
        server: "a".into(),
        address: "127.0.0.1:5432".into(),
        replication_address: "127.0.0.1:5433".into(),
        region: "gulf".into(),
        zone: "gulf-a".into(),
        role: TargetRole::Primary,
        broker: broker.into(),
        broker_address: "127.0.0.1:7000".into(),
        epoch: 1,
        slots: 3,
        connections: 90,
        live: true,
        draining: false,
    };
    let route = DatabaseRoute {
        term: LogTerm(term),
        primary: Some("a".into()),
        targets: vec![target],
        ..DatabaseRoute::default()
    };
    let mut table = RouteTable { version: 1, ..RouteTable::default() };
    table.databases.insert("d".into(), Arc::new(route));
    Arc::new(table)
}

fn open() -> TestRegistry {
    let clock = MonotonicClock::start();
    let lease = NodeLease::new(clock);
    lease.extend(Micros::from_secs(3_600));
    let (routes, receiver) = watch::channel(routes("entry-1", 1));
    let registry = AnnouncementRegistry::new("entry-1".into(), clock, lease.clone(), receiver);
    registry.set_address("127.0.0.1:8080".parse().unwrap());
    TestRegistry { registry, lease, routes }
}

fn announcement(incarnation: u64, offset: u64) -> v1::Announcement {
    v1::Announcement {
        database: "d".to_owned(),
        server: "a".to_owned(),
        address: "127.0.0.1:5432".to_owned(),
        role: v1::Role::Primary.into(),
        position: Some(v1::Position { term: 1, offset }),
        incarnation,
        term: 1,
        ..v1::Announcement::default()
    }
}

/// Returns the report on the target in the next heartbeat.
fn report(registry: &AnnouncementRegistry) -> v1::TargetReport {
    let target = v1::TargetReport {
        database: "d".to_owned(),
        server: "a".to_owned(),
        ..v1::TargetReport::default()
    };
    let mut reports = vec![target];
    registry.annotate(&mut reports);
    reports.remove(0)
}

async fn has_urgent_change(registry: &AnnouncementRegistry) -> bool {
    timeout(Duration::from_millis(20), registry.wait_for_urgent_change()).await.is_ok()
}

/// Guards against announcements that are lost because an entry accepts them although control ignores its
/// reports: without a lease, without the brokership, or before the group has a primary.
#[tokio::test]
async fn only_the_broker_under_a_lease_accepts_announcements() {
    let test = open();
    let reply = test.registry.accept(announcement(1, 1)).unwrap();
    assert_eq!((reply.term, reply.primary.as_str()), (1, "a"));
    assert_eq!(reply.announce_to, "127.0.0.1:8080");
    for (broker, term) in [("entry-2", 1), ("", 1), ("entry-1", 0)] {
        test.routes.send_replace(routes(broker, term));
        assert_eq!(
            test.registry.accept(announcement(1, 1)).unwrap_err(),
            AnnounceRefusal::NotBroker
        );
    }
    test.routes.send_replace(routes("entry-1", 1));
    let unknown = v1::Announcement { server: "b".to_owned(), ..announcement(1, 1) };
    assert_eq!(test.registry.accept(unknown).unwrap_err(), AnnounceRefusal::NotBroker);
    let clock = MonotonicClock::start();
    let none = NodeLease::new(clock);
    let registry =
        AnnouncementRegistry::new("entry-1".into(), clock, none, test.routes.subscribe());
    assert_eq!(registry.accept(announcement(1, 1)).unwrap_err(), AnnounceRefusal::NoLease);
    assert!(registry.announced().is_empty());
    assert!(test.lease.is_valid());
}

/// Guards against a late announcement of an earlier process that replaces the one of the current process.
#[tokio::test]
async fn older_incarnation_is_refused() {
    let test = open();
    test.registry.accept(announcement(2, 1)).unwrap();
    assert_eq!(
        test.registry.accept(announcement(1, 9)).unwrap_err(),
        AnnounceRefusal::OldIncarnation
    );
    assert_eq!(report(&test.registry).announced_incarnation, 2);
}

/// Guards against an extra heartbeat when only the position has changed, which happens continuously, and
/// against any other change that is not reported before the next regular heartbeat.
#[tokio::test]
async fn only_changes_are_urgent() {
    let test = open();
    test.registry.accept(announcement(1, 1)).unwrap();
    assert!(report(&test.registry).announcement.is_some(), "control may not know the target");
    let sent = vec![report(&test.registry)];
    test.registry.confirm(&sent);
    test.registry.accept(announcement(1, 2)).unwrap();
    assert!(!has_urgent_change(&test.registry).await);
    let unchanged = report(&test.registry);
    assert!(unchanged.announcement.is_none() && unchanged.announced_incarnation == 1);
    let replica = v1::Role::Replica.into();
    let changes = [
        announcement(2, 3),
        v1::Announcement { role: replica, ..announcement(2, 3) },
        v1::Announcement { address: "127.0.0.1:9".to_owned(), ..announcement(2, 3) },
        v1::Announcement { leaving: true, ..announcement(2, 3) },
    ];
    for change in changes {
        test.registry.accept(change.clone()).unwrap();
        assert!(has_urgent_change(&test.registry).await, "{change:?}");
        let report = report(&test.registry);
        assert_eq!(report.announcement.as_ref(), Some(&change));
        test.registry.confirm(&[report]);
    }
    // The last positions of a leaving target decide whether it may be removed.
    assert!(report(&test.registry).announcement.is_some());
}

/// Guards against a change that is lost with its heartbeat, and against a reply to an earlier heartbeat
/// that confirms a later announcement.
#[tokio::test]
async fn announcement_is_resent_until_a_heartbeat_with_it_is_confirmed() {
    let test = open();
    test.registry.accept(announcement(1, 1)).unwrap();
    let first = report(&test.registry);
    assert!(report(&test.registry).announcement.is_some(), "sent again without a reply");
    test.registry.accept(announcement(2, 1)).unwrap();
    test.registry.confirm(&[first]);
    assert_eq!(report(&test.registry).announcement.unwrap().incarnation, 2);
}

/// Guards against a silent target that counts as announced for longer than one second, which delays
/// failure detection, or for less, which lets a single signal end a term.
#[tokio::test]
async fn announcement_counts_for_one_second() {
    let test = open();
    test.registry.accept(announcement(1, 1)).unwrap();
    sleep(Duration::from_millis(600)).await;
    assert_eq!(report(&test.registry).announced_incarnation, 1);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(report(&test.registry).announced_incarnation, 0);
    assert!(test.registry.announced().is_empty());
}
