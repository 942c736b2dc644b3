//! The floor of a session.

use {
    banyansill_core::{
        failure::FailureKind,
        floor::SessionFloor,
        position::{LogPosition, LogTerm},
        route::{DatabaseRoute, TermStart},
    },
    proptest::prelude::*,
};

const fn at(term: u64, offset: u64) -> LogPosition {
    LogPosition::new(term, offset)
}

/// Route in the last of the given terms; each begins after the position.
fn route(terms: &[(u64, LogPosition)]) -> DatabaseRoute {
    let mut route = DatabaseRoute::default();
    for (term, start) in terms {
        route.term = LogTerm(*term);
        route.history.push(TermStart { term: LogTerm(*term), start: *start });
    }
    route
}

// Guards against a replica read before the session's history is known.
#[test]
fn floor_is_unknown_until_the_mark_is_learnt() {
    let mut floor = SessionFloor::unknown();
    floor.raise(at(1, 5));
    assert!(!floor.is_known());
    floor.learn(at(1, 3));
    assert!(floor.is_known());
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 5))));
}

// Guards against a floor that falls.
#[test]
fn floor_only_rises() {
    let mut floor = SessionFloor::unknown();
    floor.learn(at(1, 5));
    floor.raise(at(1, 4));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 5))));
    floor.raise(at(1, 9));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 9))));
}

// Guards against an older answer after a promotion that lost the session's writes.
#[test]
fn lost_history_is_refused() {
    let promoted = route(&[(1, at(0, 0)), (2, at(1, 8))]);
    let mut floor = SessionFloor::unknown();
    floor.learn(at(1, 8));
    assert_eq!(floor.require(&promoted), Ok(Some(at(1, 8))));
    floor.raise(at(1, 9));
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
    // A later position must not hide the loss.
    floor.raise(at(2, 20));
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
}

// Guards against a loss that is hidden because the answer of the new primary came first.
#[test]
fn loss_is_seen_when_the_history_arrives_late() {
    let mut floor = SessionFloor::unknown();
    floor.learn(at(1, 9));
    floor.raise(at(2, 10));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(2, 10))));
    let promoted = route(&[(1, at(0, 0)), (2, at(1, 8))]);
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
}

// Guards against a refusal of what survived: a term without writes, and several promotions.
#[test]
fn inherited_positions_survive() {
    let promoted = route(&[(1, at(0, 0)), (2, at(1, 8)), (3, at(1, 8)), (4, at(3, 12))]);
    for (position, survives) in [
        (at(1, 8), true),
        (at(1, 9), false),
        (at(2, 8), true),
        (at(2, 9), false),
        (at(3, 12), true),
        (at(3, 13), false),
        (at(4, 50), true),
        (at(5, 60), true),
    ] {
        let mut floor = SessionFloor::unknown();
        floor.learn(position);
        assert_eq!(floor.require(&promoted).is_ok(), survives, "{position}");
    }
}

// Guards against an answer on a history that is not known to hold the floor.
#[test]
fn unrecorded_terms_are_refused() {
    let mut floor = SessionFloor::unknown();
    floor.learn(at(1, 8));
    let trimmed = route(&[(5, at(4, 100))]);
    assert_eq!(floor.require(&trimmed), Err(FailureKind::HistoryLost));
}

proptest! {
    // Guards against a floor below any position that the session saw, in any order.
    #[test]
    fn floor_covers_all_positions(offsets in prop::collection::vec((1_u64..4, 1_u64..100), 1..20)) {
        let mut floor = SessionFloor::unknown();
        let mut highest = LogPosition::ZERO;
        for (term, offset) in offsets {
            floor.learn(at(term, offset));
            highest = highest.max(at(term, offset));
        }
        let open = DatabaseRoute { term: LogTerm(1), ..DatabaseRoute::default() };
        prop_assert_eq!(floor.require(&open), Ok(Some(highest)));
    }
}
