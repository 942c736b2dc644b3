//! Tests of the scope checks that the cluster state applies to commands of operators.

#![allow(clippy::unwrap_used)]

use {
    banyansill_core::{
        cluster::{
            ClusterCommand, ClusterRejection, ClusterReply, ClusterState, OperatorScope, RowChange,
            TargetInfo,
        },
        sheet::{COLUMNS, RuleSheet},
        state_machine::StateMachine,
    },
    proptest::prelude::*,
    std::collections::BTreeMap,
};

/// Deadline in milliseconds of the row of each database and application.
type Rows = BTreeMap<(String, String), u64>;

fn rows(list: &[(&str, &str, u64)]) -> Rows {
    let mut rows = Rows::new();
    for (database, application, deadline) in list {
        rows.insert(((*database).to_owned(), (*application).to_owned()), *deadline);
    }
    rows
}

fn text(rows: &Rows) -> String {
    let mut text = COLUMNS.join(",") + "\n";
    for ((database, application), deadline) in rows {
        text += &format!("{database},{application},read,read,any,,primary,yes,4,{deadline},\n");
    }
    text
}

fn scope(databases: &[&str], applications: &[&str]) -> OperatorScope {
    let list = |names: &[&str]| {
        (!names.is_empty()).then(|| names.iter().map(|name| (*name).into()).collect())
    };
    OperatorScope { databases: list(databases), applications: list(applications) }
}

/// A cluster state and the log index of the last command.
#[derive(Default)]
struct Fixture {
    state: ClusterState,
    index: u64,
}

impl Fixture {
    fn apply(&mut self, command: &ClusterCommand) -> ClusterReply {
        self.index += 1;
        self.state.apply(self.index, &command.encode())
    }

    fn scoped(&mut self, scope: &OperatorScope, command: ClusterCommand) -> ClusterReply {
        self.apply(&ClusterCommand::Scoped { scope: scope.clone(), command: Box::new(command) })
    }

    fn sheet(&mut self, scope: &OperatorScope, number: u64, rows: &Rows, id: &str) -> ClusterReply {
        let command = ClusterCommand::ApplySheet {
            number,
            content: text(rows),
            operator: "ada".to_owned(),
            request_id: id.to_owned(),
        };
        self.scoped(scope, command)
    }
}

const fn changed(reply: &ClusterReply) -> bool {
    matches!(reply, ClusterReply::Done { changed: true, .. })
}

fn refused_rows(reply: ClusterReply) -> Vec<String> {
    match reply {
        ClusterReply::Rejected(ClusterRejection::OutOfScope { rows, total }) => {
            assert_eq!(rows.len(), total);
            rows.iter().map(ToString::to_string).collect()
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against an operator whose sheet, based on an outdated one, reverts the rows of another team.
#[test]
fn concurrent_operators_cannot_revert_each_other() {
    let mut fixture = Fixture::default();
    let (ada, bo) = (scope(&["a"], &[]), scope(&["b"], &[]));
    let initial = rows(&[("a", "shop", 100), ("b", "shop", 100), ("*", "*", 900)]);
    assert!(changed(&fixture.sheet(&OperatorScope::default(), 1, &initial, "")));
    let mut rows_of_ada = initial.clone();
    rows_of_ada.insert(("a".to_owned(), "shop".to_owned()), 200);
    let mut rows_of_bo = initial.clone();
    rows_of_bo.insert(("b".to_owned(), "shop".to_owned()), 300);
    assert!(changed(&fixture.sheet(&ada, 2, &rows_of_ada, "")));
    let reply = fixture.sheet(&bo, 3, &rows_of_bo, "");
    assert_eq!(refused_rows(reply), ["changed a/shop/read"]);
    assert_eq!(fixture.state.sheet_content(), text(&rows_of_ada));
    rows_of_bo.insert(("a".to_owned(), "shop".to_owned()), 200);
    assert!(changed(&fixture.sheet(&bo, 3, &rows_of_bo, "")));
}

/// Guards against rows outside the scope that are added, changed or removed unnoticed, against wildcard
/// rows that count as in scope, and against rows of a database in scope but another application.
#[test]
fn refusal_lists_every_row_outside_the_scope() {
    let mut fixture = Fixture::default();
    let initial = rows(&[("a", "shop", 1), ("a", "till", 1), ("b", "shop", 1), ("*", "*", 1)]);
    assert!(changed(&fixture.sheet(&OperatorScope::default(), 1, &initial, "")));
    let wanted =
        rows(&[("a", "shop", 2), ("a", "till", 2), ("c", "shop", 1), ("*", "*", 2), ("a", "*", 1)]);
    let reply = fixture.sheet(&scope(&["a"], &["shop"]), 2, &wanted, "");
    let expected = [
        "changed */*/read",
        "added a/*/read",
        "changed a/till/read",
        "removed b/shop/read",
        "added c/shop/read",
    ];
    assert_eq!(refused_rows(reply), expected);
    let by_database = refused_rows(fixture.sheet(&scope(&["a"], &[]), 2, &wanted, ""));
    assert_eq!(by_database, ["changed */*/read", "removed b/shop/read", "added c/shop/read"]);
    let by_application = refused_rows(fixture.sheet(&scope(&[], &["shop"]), 2, &wanted, ""));
    let expected = ["changed */*/read", "added a/*/read", "changed a/till/read"];
    assert_eq!(by_application, expected);
    assert_eq!(fixture.state.sheet().unwrap().number, 1);
}

/// Guards against a retry that gets a different reply after the sheet of another team was accepted, and
/// against a refused request that is accepted when it is retried.
#[test]
fn retries_get_the_first_reply() {
    let mut fixture = Fixture::default();
    let (ada, bo) = (scope(&["a"], &[]), scope(&["b"], &[]));
    let first = rows(&[("a", "shop", 1)]);
    let accepted = fixture.sheet(&ada, 1, &first, "r-1");
    assert!(changed(&accepted));
    let second = rows(&[("a", "shop", 1), ("b", "shop", 1)]);
    let mixed = rows(&[("a", "shop", 2), ("b", "shop", 2)]);
    let refused = fixture.sheet(&bo, 2, &mixed, "r-2");
    assert!(matches!(refused, ClusterReply::Rejected(_)));
    assert!(changed(&fixture.sheet(&bo, 2, &second, "r-3")));
    assert_eq!(fixture.sheet(&ada, 1, &first, "r-1"), accepted);
    assert_eq!(fixture.sheet(&bo, 2, &mixed, "r-2"), refused);
    // Without an idempotency key, a sheet with the same number and content counts as a retry.
    let again = fixture.sheet(&bo, 2, &second, "");
    assert!(matches!(again, ClusterReply::Done { changed: false, .. }), "{again:?}");
    let conflict = fixture.sheet(&ada, 1, &mixed, "");
    let expected = matches!(
        conflict,
        ClusterReply::Rejected(ClusterRejection::SheetConflict { number: 1, .. })
    );
    assert!(expected, "{conflict:?}");
    let mut restored = ClusterState::default();
    restored.restore(&fixture.state.snapshot()).unwrap();
    fixture.state = restored;
    assert_eq!(fixture.sheet(&bo, 2, &mixed, "r-2"), refused);
}

/// Guards against a scoped operator who drains hosts, targets of other teams or targets shared with
/// other applications, or who sends a command that only control may propose.
#[test]
fn scoped_operators_drain_only_their_targets() {
    let mut fixture = Fixture::default();
    for (database, port) in [("a", 1), ("b", 2)] {
        let info = TargetInfo {
            address: format!("127.0.0.1:{port}").as_str().into(),
            ..TargetInfo::default()
        };
        let (database, server) = (database.into(), "s".into());
        fixture.apply(&ClusterCommand::RecordTarget { database, server, info });
    }
    let drain = |database: &str, id: &str| ClusterCommand::DrainTarget {
        database: database.into(),
        server: "s".into(),
        drain: true,
        request_id: id.to_owned(),
    };
    let forbidden = |reply: &ClusterReply| {
        matches!(reply, ClusterReply::Rejected(ClusterRejection::Forbidden { .. }))
    };
    let team = scope(&["a"], &[]);
    assert!(forbidden(&fixture.scoped(&team, drain("b", ""))));
    assert!(forbidden(&fixture.scoped(&scope(&["a"], &["shop"]), drain("a", ""))));
    let done = fixture.scoped(&team, drain("a", "d-1"));
    assert!(changed(&done));
    assert_eq!(fixture.scoped(&team, drain("a", "d-1")), done);
    let others = [
        ClusterCommand::DrainEntry { host: "e".into(), drain: true, request_id: String::new() },
        ClusterCommand::CloseTerm { database: "a".into(), expected_term: 0, planned: true },
        ClusterCommand::Scoped {
            scope: OperatorScope::default(),
            command: Box::new(drain("b", "")),
        },
    ];
    for command in others {
        assert!(forbidden(&fixture.scoped(&team, command)));
    }
    assert!(!fixture.state.target("b", "s").unwrap().drained);
}

/// Guards against a refusal whose size grows with the sheet without bound.
#[test]
fn refusals_are_bounded() {
    let mut fixture = Fixture::default();
    let mut many = Rows::new();
    for number in 0..1_000 {
        many.insert((format!("db-{number}"), "shop".to_owned()), 1);
    }
    match fixture.sheet(&scope(&["a"], &[]), 1, &many, "") {
        ClusterReply::Rejected(ClusterRejection::OutOfScope { rows, total }) => {
            assert_eq!((rows.len(), total), (200, 1_000));
            assert!(rows.iter().all(|row| row.change == RowChange::Added));
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a rule that changes when it is rendered as CSV text and parsed again.
#[test]
fn rendered_rules_parse_to_the_same_rules() {
    let content = COLUMNS.join(",")
        + "\n\"a,b\",shop,read,read,any,1500,replica,yes,3,2000,7\n*,*,*,write,primary,,primary,no,9,1,\n";
    let sheet = RuleSheet::parse(content.as_bytes()).unwrap();
    let rendered = sheet.render(|_| true);
    assert_eq!(RuleSheet::parse(rendered.as_bytes()).unwrap(), sheet);
    let part = RuleSheet::parse(sheet.render(|rule| &*rule.database == "*").as_bytes()).unwrap();
    assert_eq!(part.rules(), &sheet.rules()[1..]);
}

const DATABASES: [&str; 3] = ["a", "b", "*"];
const APPLICATIONS: [&str; 3] = ["shop", "till", "*"];

fn any_scope() -> impl Strategy<Value = OperatorScope> {
    let list = |names: &'static [&'static str]| {
        prop::option::of(prop::sample::subsequence(names, 1..=names.len()))
    };
    (list(&["a", "b"]), list(&["shop", "till"])).prop_map(|(databases, applications)| {
        scope(&databases.unwrap_or_default(), &applications.unwrap_or_default())
    })
}

proptest! {
    /// Guards against a scoped operator who changes a row outside the scope, or is refused although all
    /// changed rows are in the scope, with any sequence of sheets that are based on any earlier one.
    #[test]
    fn rows_outside_the_scope_never_change(
        steps in prop::collection::vec(
            (any_scope(), 0..6_usize, prop::collection::vec((0..3_usize, 0..3_usize, 0..4_u64), 1..4)),
            1..30,
        )
    ) {
        let mut fixture = Fixture::default();
        let mut accepted = vec![rows(&[("a", "shop", 1), ("b", "till", 1), ("*", "*", 1)])];
        let first = fixture.sheet(&OperatorScope::default(), 1, &accepted[0], "");
        prop_assert!(changed(&first));
        for (number, (scope, age, edits)) in (2..).zip(steps) {
            let last = accepted.last().unwrap().clone();
            let mut wanted = accepted[accepted.len().saturating_sub(age + 1)].clone();
            for (database, application, deadline) in edits {
                let key = (DATABASES[database].to_owned(), APPLICATIONS[application].to_owned());
                if deadline == 0 { wanted.remove(&key); } else { wanted.insert(key, deadline); }
            }
            if wanted.is_empty() {
                continue;
            }
            let mut out_of_scope = Vec::new();
            for database in DATABASES {
                for application in APPLICATIONS {
                    let key = (database.to_owned(), application.to_owned());
                    let in_scope =
                        scope.databases.as_ref().is_none_or(|names| names.contains(database))
                        && scope.applications.as_ref().is_none_or(|names| names.contains(application));
                    if !in_scope && last.get(&key) != wanted.get(&key) {
                        out_of_scope.push(key);
                    }
                }
            }
            let reply = fixture.sheet(&scope, number, &wanted, "");
            if out_of_scope.is_empty() {
                prop_assert!(changed(&reply), "{reply:?}");
                prop_assert_eq!(fixture.state.sheet_content(), text(&wanted));
                accepted.push(wanted);
            } else {
                prop_assert_eq!(refused_rows(reply).len(), out_of_scope.len());
                prop_assert_eq!(fixture.state.sheet_content(), text(&last));
            }
        }
    }
}
