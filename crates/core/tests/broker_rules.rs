//! Rules of a broker: pool size, connection reuse, floors, terms, commands and probe results.

use banyansill_core::{
    broker::{
        BrokerView, ConnectionState, FloorCoverage, PoolCount, PoolRules, ProbeRecord,
        ReleaseAction, TargetCommand, TargetStatus, compare_floor, floor_wait,
    },
    failure::FailureKind,
    position::{LogPosition, LogTerm},
    route::{DatabaseRoute, TargetRole, TermStart},
    time::Micros,
};

const fn at(term: u64, offset: u64) -> LogPosition {
    LogPosition::new(term, offset)
}

fn history() -> Vec<TermStart> {
    vec![
        TermStart { term: LogTerm(1), start: at(0, 0) },
        TermStart { term: LogTerm(2), start: at(1, 90) },
        TermStart { term: LogTerm(4), start: at(2, 120) },
    ]
}

// Guards against more connections than the target's limit, and against many concurrent set-ups after
// a failover.
#[test]
fn the_pool_stays_warm_and_bounded() {
    let rules = PoolRules::new(5, 70);
    assert_eq!((rules.limit, rules.warm), (68, 8));
    let mut count = PoolCount::default();
    let mut rounds = 0;
    while rules.to_open(count) > 0 {
        count.opening = rules.to_open(count);
        assert!(count.opening <= 4);
        count.idle += count.opening;
        count.opening = 0;
        rounds += 1;
    }
    assert_eq!((count.idle, rounds), (8, 2));
    // Connections inside transactions do not count as warm, but they count towards the limit.
    let pinned = PoolCount { pinned: 66, ..PoolCount::default() };
    assert_eq!(rules.to_open(pinned), 2);
    assert_eq!(rules.to_open(PoolCount { pinned: 68, ..PoolCount::default() }), 0);
    assert_eq!(rules.to_open(PoolCount { opening: 4, ..PoolCount::default() }), 0);
    assert_eq!(PoolRules::new(3, 2).limit, 1);
}

// Guards against the reuse of a connection in an unknown state for another caller.
#[test]
fn only_idle_connections_are_reused() {
    let clean =
        ConnectionState { idle: true, reply_pending: false, cancel_pending: false, tainted: false };
    assert_eq!(clean.release_action(), ReleaseAction::Reuse);
    assert_eq!(ConnectionState { tainted: true, ..clean }.release_action(), ReleaseAction::Reset);
    for state in [
        ConnectionState { idle: false, tainted: true, ..clean },
        ConnectionState { reply_pending: true, ..clean },
        ConnectionState { cancel_pending: true, tainted: true, ..clean },
    ] {
        assert_eq!(state.release_action(), ReleaseAction::Close, "{state:?}");
    }
}

// Guards against answers from an abandoned branch of the log, and against reads that are served
// although their floor was lost.
#[test]
fn floors_are_compared_through_the_history() {
    let cases = [
        (at(4, 130), at(4, 130), FloorCoverage::Covered),
        (at(4, 130), at(4, 131), FloorCoverage::Behind),
        (at(4, 121), at(1, 90), FloorCoverage::Covered),
        (at(2, 100), at(1, 90), FloorCoverage::Covered),
        (at(1, 90), at(1, 90), FloorCoverage::Covered),
        (at(4, 200), at(1, 91), FloorCoverage::Lost),
        (at(4, 200), at(2, 121), FloorCoverage::Lost),
        // 100 of term 1 is more than its successor kept: the server is on an abandoned branch.
        (at(1, 100), at(1, 80), FloorCoverage::Behind),
        (at(2, 125), at(1, 80), FloorCoverage::Behind),
        (at(1, 90), at(2, 91), FloorCoverage::Behind),
        (at(4, 200), at(5, 10), FloorCoverage::Behind),
    ];
    for (position, floor, expected) in cases {
        let coverage = compare_floor(&history(), position, floor);
        assert_eq!(coverage, expected, "position {position}, floor {floor}");
    }
    assert_eq!(floor_wait(Micros::from_millis(200)), Micros::from_millis(40));
    assert_eq!(floor_wait(Micros::from_secs(30)), Micros::from_millis(100));
}

fn route() -> DatabaseRoute {
    DatabaseRoute {
        term: LogTerm(4),
        primary: Some("p".into()),
        history: history(),
        ..DatabaseRoute::default()
    }
}

const fn status(role: TargetRole, term: u64) -> TargetStatus {
    TargetStatus {
        role,
        term: LogTerm(term),
        position: at(4, 130),
        received: at(4, 130),
        age: Micros::from_millis(200),
        sent_at: Micros::from_millis(1_000),
    }
}

const fn view<'a>(
    route: &'a DatabaseRoute,
    server: &'a str,
    status: TargetStatus,
) -> BrokerView<'a> {
    let now = Micros::from_millis(1_100);
    BrokerView { route, server, leased: true, status: Some(status), now }
}

// Guards against writes without a lease, under another term, under a closed term or on a server
// that control has not chosen.
#[test]
fn writes_need_lease_and_open_term() {
    let open = route();
    let primary = status(TargetRole::Primary, 4);
    let good = view(&open, "p", primary);
    assert_eq!(good.check_write(LogTerm(4)), Ok(()));
    assert_eq!(good.check_write(LogTerm(2)), Err(FailureKind::WrongEpoch));
    let unleased = BrokerView { leased: false, ..good };
    assert_eq!(unleased.check_write(LogTerm(4)), Err(FailureKind::NoLease));
    assert_eq!(unleased.check_read(None, None), Err(FailureKind::NoLease));
    let closed = DatabaseRoute { closed: true, ..route() };
    let after = view(&closed, "p", primary);
    assert_eq!(after.check_write(LogTerm(4)), Err(FailureKind::NoPrimary));
    assert_eq!(after.check_read(None, None), Err(FailureKind::NoPrimary));
    let other = view(&open, "r", primary);
    assert_eq!(other.check_write(LogTerm(4)), Err(FailureKind::NoPrimary));
    assert!(!view(&open, "p", status(TargetRole::Primary, 2)).confirmed_primary());
    assert!(!view(&open, "p", status(TargetRole::Replica, 4)).confirmed_primary());
}

// Guards against stale answers, and against a former primary that counts as up to date.
#[test]
fn reads_need_age_and_floor() {
    let open = route();
    let replica = view(&open, "r", status(TargetRole::Replica, 4));
    assert_eq!(replica.check_read(Some(at(4, 130)), Some(Micros::from_millis(300))), Ok(()));
    // 200 ms at the probe and 100 ms since.
    let young = Some(Micros::from_millis(299));
    assert_eq!(replica.check_read(None, young), Err(FailureKind::TooStale));
    assert_eq!(replica.check_read(Some(at(4, 131)), None), Err(FailureKind::TooStale));
    assert_eq!(replica.check_read(Some(at(2, 121)), None), Err(FailureKind::HistoryLost));
    let old = view(&open, "r", status(TargetRole::Primary, 2));
    assert_eq!(old.check_read(None, None), Err(FailureKind::TooStale));
    let unknown = BrokerView { status: None, ..replica };
    assert_eq!(unknown.check_read(None, None), Err(FailureKind::TooStale));
    let primary = view(&open, "p", status(TargetRole::Primary, 4));
    assert_eq!(primary.check_read(Some(at(4, 500)), Some(Micros(1))), Ok(()));
    assert_eq!(primary.check_read(Some(at(5, 1)), None), Err(FailureKind::WrongEpoch));
}

// Guards against a second primary: only the candidate is promoted, and all other servers follow the
// current primary.
#[test]
fn commands_follow_control() {
    let open = route();
    let follow = TargetCommand::Follow(LogTerm(4));
    assert_eq!(view(&open, "r", status(TargetRole::Primary, 2)).next_command(), follow);
    assert_eq!(view(&open, "r", status(TargetRole::Replica, 2)).next_command(), follow);
    assert_eq!(
        view(&open, "r", status(TargetRole::Replica, 4)).next_command(),
        TargetCommand::None
    );
    assert_eq!(
        view(&open, "p", status(TargetRole::Replica, 2)).next_command(),
        TargetCommand::None
    );
    let closed = DatabaseRoute { closed: true, candidate: Some("r".into()), ..route() };
    let candidate = view(&closed, "r", status(TargetRole::Replica, 4));
    assert_eq!(candidate.next_command(), TargetCommand::Promote(LogTerm(5)));
    assert_eq!(BrokerView { leased: false, ..candidate }.next_command(), TargetCommand::None);
    assert_eq!(
        view(&closed, "r", status(TargetRole::Primary, 5)).next_command(),
        TargetCommand::None
    );
    assert_eq!(
        view(&closed, "q", status(TargetRole::Replica, 2)).next_command(),
        TargetCommand::None
    );
}

// Guards against a target that counts as unreachable after one silent connection, and against an
// outage that is measured from the failed fresh connection instead of the first missed probe.
#[test]
fn only_a_fresh_connection_proves_unreachability() {
    let mut record = ProbeRecord::default();
    record.record_missed(Micros::from_millis(100));
    assert!(record.reachable());
    assert_eq!(record.unreachable_for(Micros::from_secs(9)), Micros::ZERO);
    assert!(record.record_fresh_failure(Micros::from_millis(600)));
    assert!(!record.record_fresh_failure(Micros::from_millis(1_100)));
    assert!(!record.reachable());
    let silent = record.unreachable_for(Micros::from_millis(1_600));
    assert_eq!(silent, Micros::from_millis(1_500));
    assert!(record.record_answered());
    assert!(!record.record_answered());
    assert!(record.reachable());
}
