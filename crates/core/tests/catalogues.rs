//! The catalogues in docs must list what the code can report.

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

/// Guards against an error that operators cannot look up, or a page that names another SQLSTATE.
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

/// Guards against names that do not survive the way between processes.
#[test]
fn failure_names_are_unique_and_parse_back() {
    let mut names = BTreeSet::new();
    for kind in FailureKind::ALL {
        assert!(names.insert(kind.name()));
        assert_eq!(FailureKind::from_name(kind.name()), Some(kind));
    }
}

/// Guards against an event that operators cannot look up, and against two events with one number.
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
