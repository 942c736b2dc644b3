//! Rules of a session's floor across promotions.

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

/// Returns a route in the last of the given terms; each term begins after its position.
fn route(terms: &[(u64, LogPosition)]) -> DatabaseRoute {
    let mut route = DatabaseRoute::default();
    for (term, start) in terms {
        route.term = LogTerm(*term);
        route.history.push(TermStart { term: LogTerm(*term), start: *start });
    }
    route
}

// Guards against a replica read before the floor is known, and against an initial position that
// lowers the floor.
#[test]
fn floor_is_unknown_until_initialized() {
    let mut floor = SessionFloor::unknown();
    floor.raise(at(1, 5));
    assert!(!floor.is_known());
    floor.initialize(at(1, 3));
    assert!(floor.is_known());
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 5))));
}

// Guards against a floor that decreases.
#[test]
fn floor_only_rises() {
    let mut floor = SessionFloor::unknown();
    floor.initialize(at(1, 5));
    floor.raise(at(1, 4));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 5))));
    floor.raise(at(1, 9));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(1, 9))));
}

// Guards against reads that miss the session's writes after a promotion lost them.
#[test]
fn lost_history_is_refused() {
    let promoted = route(&[(1, at(0, 0)), (2, at(1, 8))]);
    let mut floor = SessionFloor::unknown();
    floor.initialize(at(1, 8));
    assert_eq!(floor.require(&promoted), Ok(Some(at(1, 8))));
    floor.raise(at(1, 9));
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
    // A later position must not hide the loss.
    floor.raise(at(2, 20));
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
}

// Guards against a loss that goes undetected because the new primary's answer arrived before the
// history.
#[test]
fn loss_is_detected_when_the_history_arrives_late() {
    let mut floor = SessionFloor::unknown();
    floor.initialize(at(1, 9));
    floor.raise(at(2, 10));
    assert_eq!(floor.require(&route(&[(1, at(0, 0))])), Ok(Some(at(2, 10))));
    let promoted = route(&[(1, at(0, 0)), (2, at(1, 8))]);
    assert_eq!(floor.require(&promoted), Err(FailureKind::HistoryLost));
}

// Guards against a refusal of positions that survived a term without writes or several promotions.
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
        floor.initialize(position);
        assert_eq!(floor.require(&promoted).is_ok(), survives, "{position}");
    }
}

// Guards against reads on a history that is not known to contain the floor.
#[test]
fn unrecorded_terms_are_refused() {
    let mut floor = SessionFloor::unknown();
    floor.initialize(at(1, 8));
    let trimmed = route(&[(5, at(4, 100))]);
    assert_eq!(floor.require(&trimmed), Err(FailureKind::HistoryLost));
}

proptest! {
    // Guards against a floor below a position that the session wrote or read at, in any order.
    #[test]
    fn floor_covers_all_positions(offsets in prop::collection::vec((1_u64..4, 1_u64..100), 1..20)) {
        let mut floor = SessionFloor::unknown();
        let mut highest = LogPosition::ZERO;
        for (term, offset) in offsets {
            floor.initialize(at(term, offset));
            highest = highest.max(at(term, offset));
        }
        let open = DatabaseRoute { term: LogTerm(1), ..DatabaseRoute::default() };
        prop_assert_eq!(floor.require(&open), Ok(Some(highest)));
    }
}
