//! The checker of transactions must find each kind of breach.

use {
    banyansill_testkit::{
        history::WriteOutcome,
        transactions::{PairFault, PairLog},
    },
    std::collections::BTreeSet,
};

const FIRST: u64 = 1_000_001;
const SECOND: u64 = 2_000_001;

fn log(outcome: WriteOutcome) -> PairLog {
    let mut log = PairLog::default();
    log.record(FIRST, outcome);
    log
}

/// Guards against false alarms.
#[test]
fn clean_transactions_pass() {
    let mut log = log(WriteOutcome::Acknowledged);
    log.record(SECOND, WriteOutcome::Failed);
    log.saw_inside(SECOND, 2, vec![(SECOND, 2, 2), (SECOND, 2, 1)]);
    log.saw(1, vec![(FIRST, 1, 1), (FIRST, 1, 2)]);
    assert_eq!(log.check(&[(FIRST, 1, 2), (FIRST, 1, 1)]), BTreeSet::new());
    let mut unknown = self::log(WriteOutcome::Unknown);
    unknown.saw(1, Vec::new());
    assert_eq!(unknown.check(&[]), BTreeSet::new());
}

/// Guards against a checker that misses a planted breach.
#[test]
fn each_planted_fault_is_found() {
    let whole = [(FIRST, 1, 1), (FIRST, 1, 2)];
    assert!(log(WriteOutcome::Acknowledged).check(&[]).contains(&PairFault::Lost(FIRST)));
    for outcome in [WriteOutcome::Failed, WriteOutcome::NotRun] {
        assert!(log(outcome).check(&whole).contains(&PairFault::Undead(FIRST)));
    }
    let mut seen = log(WriteOutcome::Failed);
    seen.saw(1, whole.to_vec());
    assert!(seen.check(&[]).contains(&PairFault::Undead(FIRST)));
    let half = PairFault::NotWhole { token: FIRST, parts: vec![1] };
    assert!(log(WriteOutcome::Unknown).check(&whole[..1]).contains(&half));
    let mut half_seen = log(WriteOutcome::Unknown);
    half_seen.saw(1, vec![(FIRST, 1, 1)]);
    assert!(half_seen.check(&[]).contains(&half));
    let twice = [(FIRST, 1, 1), (FIRST, 1, 2), (FIRST, 1, 2)];
    let faults = log(WriteOutcome::Acknowledged).check(&twice);
    assert!(faults.contains(&PairFault::NotWhole { token: FIRST, parts: vec![1, 2, 2] }));
    let foreign = (FIRST, 2, 1);
    assert!(log(WriteOutcome::Unknown).check(&[foreign]).contains(&PairFault::Mixed(foreign)));
    let mut inside = log(WriteOutcome::Acknowledged);
    inside.saw_inside(FIRST, 1, vec![(SECOND, 2, 1)]);
    assert!(inside.check(&whole).contains(&PairFault::Mixed((SECOND, 2, 1))));
    let mut others = log(WriteOutcome::Acknowledged);
    others.saw(2, whole.to_vec());
    assert!(others.check(&whole).contains(&PairFault::Mixed(whole[0])));
}
