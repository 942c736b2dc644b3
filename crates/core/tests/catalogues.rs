//! Checks that the catalogues in docs list every failure and event that the code can report.

use {
    banyansill_core::{
        event::EventNumber,
        failure::{FailureKind, OutcomeClass},
    },
    std::{collections::BTreeSet, fs, path::PathBuf},
};

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(path).expect("the page is in the repository")
}

/// Guards against an error that is missing in the documentation or listed with another SQLSTATE.
#[test]
fn errors_page_matches_the_table() {
    let page = page("errors.md");
    let mut rows = 0;
    for kind in FailureKind::ALL {
        let answer = kind.answer();
        let class = match answer.class {
            OutcomeClass::NotRun => "not run",
            OutcomeClass::RanFailed => "ran and failed",
            OutcomeClass::Unknown => "outcome unknown",
        };
        let row = format!("| `{}` | {class} | {} |", kind.name(), answer.sqlstate);
        assert!(page.contains(&row), "missing in docs/errors.md: {row}");
        rows += 1;
    }
    assert_eq!(page.matches("| `").count(), rows);
}

/// Guards against failure names that cannot be parsed back by the receiving process.
#[test]
fn failure_names_are_unique_and_parse_back() {
    let mut names = BTreeSet::new();
    for kind in FailureKind::ALL {
        assert!(names.insert(kind.name()));
        assert_eq!(FailureKind::from_name(kind.name()), Some(kind));
    }
}

/// Guards against an event that is missing in the documentation, and against duplicate numbers.
#[test]
fn events_page_lists_every_number() {
    let page = page("events.md");
    let mut numbers = BTreeSet::new();
    for event in EventNumber::ALL {
        assert!(numbers.insert(event.number()));
        let row = format!("| BS{:03} | {} |", event.number(), event.text());
        assert!(page.contains(&row), "missing in docs/events.md: {row}");
    }
}
