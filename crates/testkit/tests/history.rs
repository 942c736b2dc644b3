//! The checker must find each kind of breach; a checker that misses one proves nothing.

use {
    banyansill_testkit::history::{HistoryFault, HistoryLog, HistoryStep, WriteOutcome},
    std::collections::BTreeSet,
};

const fn write(token: u64, outcome: WriteOutcome) -> HistoryStep {
    HistoryStep::Write { token, outcome }
}

fn read(token: u64, seen: &[u64]) -> HistoryStep {
    let seen: BTreeSet<u64> = seen.iter().copied().collect();
    HistoryStep::Read { asked: token, echoed: token, seen, announced: 1, received: 1 }
}

fn log(steps: &[HistoryStep]) -> HistoryLog {
    let mut log = HistoryLog::default();
    for step in steps {
        log.push(1, step.clone());
    }
    log
}

/// Guards against false alarms.
#[test]
fn clean_history_passes() {
    let log = log(&[
        write(1, WriteOutcome::Acknowledged),
        read(10, &[1]),
        write(2, WriteOutcome::Unknown),
        read(11, &[1, 2]),
        write(3, WriteOutcome::NotRun),
    ]);
    assert_eq!(log.check(&[1, 2]), []);
    assert_eq!(log.check(&[2, 1]), []);
}

/// Guards against a checker that misses a planted breach.
#[test]
fn each_planted_fault_is_found() {
    let acknowledged = write(1, WriteOutcome::Acknowledged);
    let crossed = HistoryStep::Read {
        asked: 10,
        echoed: 11,
        seen: BTreeSet::new(),
        announced: 1,
        received: 1,
    };
    let partial = HistoryStep::Read {
        asked: 10,
        echoed: 10,
        seen: BTreeSet::new(),
        announced: 2,
        received: 1,
    };
    let cases: Vec<(Vec<HistoryStep>, Vec<u64>, HistoryFault)> = vec![
        (
            vec![acknowledged.clone(), read(10, &[])],
            vec![1],
            HistoryFault::MissedOwnWrite { session: 1, token: 1 },
        ),
        (
            vec![write(2, WriteOutcome::Unknown), read(10, &[2]), read(11, &[])],
            vec![2],
            HistoryFault::WentBack { session: 1, token: 2 },
        ),
        (vec![crossed], vec![], HistoryFault::CrossedAnswer { session: 1, asked: 10, echoed: 11 }),
        (vec![partial], vec![], HistoryFault::PartialAnswer { session: 1, asked: 10 }),
        (vec![acknowledged.clone()], vec![1, 1], HistoryFault::RanTwice { token: 1, count: 2 }),
        (
            vec![write(3, WriteOutcome::NotRun)],
            vec![3],
            HistoryFault::RanThoughRefused { token: 3 },
        ),
        (vec![acknowledged], vec![], HistoryFault::LostWrite { token: 1 }),
    ];
    for (steps, rows, fault) in cases {
        assert_eq!(log(&steps).check(&rows), [fault]);
    }
}
