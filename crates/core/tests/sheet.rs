//! Tests that a sheet is accepted or refused as a whole, with the row and column of every fault.

use {
    banyansill_core::{
        sheet::{COLUMNS, MAX_SHEET_BYTES, RuleAck, RuleSheet, RuleTargets},
        time::Micros,
    },
    proptest::prelude::*,
};

const HAMPER_BOARD: &[u8] = include_bytes!("../../../examples/hamper-board/sheet.csv");
const MAGNOLIA: &[u8] = include_bytes!("../../../examples/magnolia/sheet.csv");

fn faults(text: &str) -> Vec<(u32, String)> {
    let faults = RuleSheet::parse(text.as_bytes()).expect_err("the sheet has faults");
    faults.into_iter().map(|fault| (fault.row, fault.column)).collect()
}

/// Guards against example sheets that are not valid.
#[test]
fn examples_are_valid() {
    let sheet = RuleSheet::parse(HAMPER_BOARD).expect("valid");
    let order = sheet.find("hamper-db-1", "coordinator", "order").expect("a rule");
    assert_eq!(order.ack, RuleAck::Replica);
    assert!(!order.repeatable);
    assert!(RuleSheet::parse(MAGNOLIA).is_ok());
}

/// Guards against a parser that refuses spreadsheet exports with another column order, a byte order
/// mark or CRLF line ends, or that accepts quoted newlines in names.
#[test]
fn export_variants_are_parsed() {
    let text = "\u{feff}kind,application,database,access,targets,max_age_ms,ack,repeatable,\
                priority,deadline_ms,max_concurrent\r\n\
                \"stock\ncheck\",*,*,read,any,0,primary,yes,0,1,\r\n";
    let refused = faults(text);
    assert_eq!(refused, [(2, "kind".to_owned())]);
    let fixed = text.replace("\"stock\ncheck\"", "\"stock, check\"");
    let sheet = RuleSheet::parse(fixed.as_bytes()).expect("valid");
    let rule = sheet.find("any", "any", "stock, check").expect("a rule");
    assert_eq!((rule.targets, rule.max_age), (RuleTargets::Any, Some(Micros::ZERO)));
}

/// Guards against a sheet that is accepted in part, and against reports that stop at the first fault.
#[test]
fn every_fault_is_reported() {
    let header = COLUMNS.join(",");
    let text = format!(
        "{header}\n\
         *,*,a,read,somewhere,-5,primary,yes,4,1000,\n\
         *,*,b,write,replica,,replica,no,12,0,0\n\
         *,*,c,read,any,,primary,yes,4,1000,\n\
         *,*,c,read,any,,primary,yes,4,1000,\n\
         *,*,d\n"
    );
    let expected = [
        (2, "targets"),
        (2, "max_age_ms"),
        (3, "priority"),
        (3, "deadline_ms"),
        (3, "max_concurrent"),
        (3, "targets"),
        (5, "kind"),
        (6, ""),
    ];
    assert_eq!(faults(&text), expected.map(|(row, column)| (row, column.to_owned())));
}

/// Guards against unknown, missing and repeated columns.
#[test]
fn header_faults_are_reported() {
    let text = "database,database,colour\n*,*,x\n";
    let found = faults(text);
    assert!(found.contains(&(1, "database".to_owned())));
    assert!(found.contains(&(1, "colour".to_owned())));
    assert!(found.contains(&(1, "kind".to_owned())));
}

/// Guards against a sheet whose size exhausts memory.
#[test]
fn oversized_sheet_is_refused() {
    let text = vec![b'a'; MAX_SHEET_BYTES * 10];
    assert_eq!(RuleSheet::parse(&text).expect_err("too large").len(), 1);
    assert!(RuleSheet::parse(b"").is_err());
}

/// Guards against a wildcard rule that takes precedence over a more specific one.
#[test]
fn most_specific_rule_wins() {
    let header = COLUMNS.join(",");
    let text = format!(
        "{header}\n\
         *,*,*,read,any,,primary,yes,9,1000,\n\
         db,*,*,read,any,,primary,yes,8,1000,\n\
         *,app,*,read,any,,primary,yes,7,1000,\n\
         *,*,kind,read,any,,primary,yes,6,1000,\n\
         db,app,kind,read,any,,primary,yes,5,1000,\n"
    );
    let sheet = RuleSheet::parse(text.as_bytes()).expect("valid");
    let priority = |database, application, kind| {
        sheet.find(database, application, kind).map(|rule| rule.priority)
    };
    assert_eq!(priority("x", "x", "x"), Some(9));
    assert_eq!(priority("db", "x", "x"), Some(8));
    assert_eq!(priority("db", "app", "x"), Some(7));
    assert_eq!(priority("db", "x", "kind"), Some(6));
    assert_eq!(priority("db", "app", "kind"), Some(5));
}

proptest! {
    /// Guards against input that makes the parser panic.
    #[test]
    fn any_bytes_are_handled(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = RuleSheet::parse(&bytes);
        let mut text = COLUMNS.join(",").into_bytes();
        text.push(b'\n');
        text.extend(bytes);
        let _ = RuleSheet::parse(&text);
    }
}
