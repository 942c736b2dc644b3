//! Token files.

#![allow(clippy::unwrap_used)]

use {
    banyansill_runtime::tokens::{AccessPolicy, TokenTable},
    std::path::Path,
};

const TOKEN: &str = "0123456789abcdef";

fn fault(text: &str) -> String {
    TokenTable::parse(Path::new("t"), text).unwrap_err().to_string()
}

/// Guards against a malformed scope that is parsed as a wider one, or even as all rights.
#[test]
fn scope_faults_name_their_line() {
    for scope in [
        "databases=",
        "databases=a,,b",
        "databases=*",
        "databases=a databases=b",
        "database=a",
        "databases",
        "a,b",
        "Applications=x",
    ] {
        let message = fault(&format!("# operators\n\nada {TOKEN} {scope}"));
        assert!(message.contains("token file t, line 3:"), "{scope}: {message}");
    }
    let twice = fault(&format!("ada {TOKEN}\nbo {TOKEN} databases=a"));
    assert!(twice.contains("line 2: the token is given twice"), "{twice}");
}

/// Guards against an omitted list that is parsed as an empty one, and against lists that are mixed up.
#[test]
fn only_given_lists_limit_the_scope() {
    let text = format!(
        "ada {TOKEN}\nbo 1{TOKEN} databases=a,b\ncy 2{TOKEN} applications=x\n\
         di 3{TOKEN}\tapplications=x  databases=a"
    );
    let table = TokenTable::parse(Path::new("t"), &text).unwrap();
    let covers = |token: &str, database: &str, application: &str| {
        table.access(token).unwrap().scope.covers_row(database, application)
    };
    assert!(covers(TOKEN, "*", "*") && table.access(TOKEN).unwrap().scope.is_unlimited());
    let bo = format!("1{TOKEN}");
    assert!(covers(&bo, "a", "y") && covers(&bo, "b", "*"));
    assert!(!covers(&bo, "c", "y") && !covers(&bo, "*", "y"));
    let cy = format!("2{TOKEN}");
    assert!(covers(&cy, "c", "x") && covers(&cy, "*", "x") && !covers(&cy, "c", "*"));
    let di = format!("3{TOKEN}");
    assert!(covers(&di, "a", "x") && !covers(&di, "a", "y") && !covers(&di, "b", "x"));
    assert!(table.access(&di).unwrap().scope.covers_database("a"));
    assert!(!table.access(&di).unwrap().scope.covers_whole_database("a"));
}

/// Guards against requests without a token being accepted as an operator's.
#[test]
fn policy_without_a_file_has_no_operators() {
    let open = AccessPolicy::default();
    let header = format!("Bearer {TOKEN}");
    assert_eq!(open.operator(Some(&header)), None);
    assert!(open.operator_or_open(None).unwrap().scope.is_unlimited());
    let file = tempfile::NamedTempFile::new().unwrap();
    let empty = AccessPolicy::load(Some(file.path())).unwrap();
    assert_eq!(empty.operator_or_open(Some(&header)), None);
    std::fs::write(file.path(), format!("ada {TOKEN}")).unwrap();
    let policy = AccessPolicy::load(Some(file.path())).unwrap();
    assert_eq!(policy.operator_or_open(Some(&header)).unwrap().operator, "ada");
    for wrong in [None, Some(TOKEN), Some("Bearer "), Some("bearer 0123456789abcdef")] {
        assert_eq!(policy.operator_or_open(wrong), None, "{wrong:?}");
    }
}
