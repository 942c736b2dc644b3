//! Scopes of operators: which rows of the sheet and which databases a team may change.

use {
    super::{
        ClusterState,
        command::{ClusterCommand, ClusterRejection, ClusterReply},
    },
    crate::{
        names::SharedName,
        sheet::{FAULT_LIMIT, RuleSheet, SheetRule},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Databases and applications that an operator is responsible for; a list that is left out means all.
///
/// The wildcard of the sheet is a name of its own here: rows with a wildcard affect other teams, so
/// only a scope without the respective list contains them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorScope {
    /// Databases; `None` means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub databases: Option<BTreeSet<SharedName>>,
    /// Applications; `None` means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub applications: Option<BTreeSet<SharedName>>,
}

impl OperatorScope {
    /// Returns whether the operator has all rights.
    #[must_use]
    pub const fn is_unlimited(&self) -> bool {
        self.databases.is_none() && self.applications.is_none()
    }

    /// Returns whether a database is in the scope.
    #[must_use]
    pub fn covers_database(&self, database: &str) -> bool {
        self.databases.as_ref().is_none_or(|names| names.contains(database))
    }

    /// Returns whether a database is in the scope with all its applications.
    #[must_use]
    pub fn covers_whole_database(&self, database: &str) -> bool {
        self.applications.is_none() && self.covers_database(database)
    }

    /// Returns whether a row of a sheet is in the scope.
    #[must_use]
    pub fn covers_row(&self, database: &str, application: &str) -> bool {
        let covered = self.applications.as_ref().is_none_or(|names| names.contains(application));
        covered && self.covers_database(database)
    }
}

/// How a row of a sheet differs from the last accepted sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowChange {
    /// Only the new sheet has the row.
    Added,
    /// The row has other values.
    Changed,
    /// Only the last accepted sheet has the row.
    Removed,
}

/// A row that differs from the last accepted sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowDifference {
    /// Database, or the wildcard.
    pub database: SharedName,
    /// Application, or the wildcard.
    pub application: SharedName,
    /// Kind, or the wildcard.
    pub kind: SharedName,
    /// How it differs.
    pub change: RowChange,
}

impl fmt::Display for RowDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = match self.change {
            RowChange::Added => "added",
            RowChange::Changed => "changed",
            RowChange::Removed => "removed",
        };
        write!(formatter, "{} {}/{}/{}", change, self.database, self.application, self.kind)
    }
}

/// Returns the rows in which two sheets differ, in the order of their names.
///
/// The order of the rows in the files has no effect on requests and makes no difference.
#[must_use]
pub fn row_differences(old: &RuleSheet, new: &RuleSheet) -> Vec<RowDifference> {
    let (old, new) = (rules_by_name(old), rules_by_name(new));
    let mut differences = Vec::new();
    let mut push = |rule: &SheetRule, change| {
        differences.push(RowDifference {
            database: rule.database.clone(),
            application: rule.application.clone(),
            kind: rule.kind.clone(),
            change,
        });
    };
    for (name, rule) in &new {
        match old.get(name) {
            None => push(rule, RowChange::Added),
            Some(before) if before != rule => push(rule, RowChange::Changed),
            Some(_) => {}
        }
    }
    for (name, rule) in &old {
        if !new.contains_key(name) {
            push(rule, RowChange::Removed);
        }
    }
    differences.sort();
    differences
}

type RowName<'a> = (&'a str, &'a str, &'a str);

fn rules_by_name(sheet: &RuleSheet) -> BTreeMap<RowName<'_>, &SheetRule> {
    let mut rules = BTreeMap::new();
    for rule in sheet.rules() {
        let name: RowName<'_> = (&rule.database, &rule.application, &rule.kind);
        rules.insert(name, rule);
    }
    rules
}

impl ClusterState {
    /// Applies a command of a scoped operator; only sheets and drains of targets are open to it.
    pub(super) fn apply_scoped(
        &mut self,
        index: u64,
        scope: &OperatorScope,
        command: ClusterCommand,
    ) -> ClusterReply {
        let (checked, request_id) = match &command {
            ClusterCommand::ApplySheet { number, content, request_id, .. } => {
                (self.check_rows(scope, *number, content), request_id)
            }
            ClusterCommand::DrainTarget { database, request_id, .. } => {
                (check_database(scope, database), request_id)
            }
            _ if scope.is_unlimited() => return self.apply_command(index, command),
            _ => return ClusterReply::Rejected(needs_all_rights()),
        };
        // The first answer comes before the check: a resend of an accepted sheet stays accepted after
        // other teams have changed their rows.
        if let Some(answer) = self.data.requests.find(request_id) {
            return answer;
        }
        match checked {
            Ok(()) => self.apply_command(index, command),
            Err(rejection) => {
                let answer = ClusterReply::Rejected(rejection);
                self.data.requests.keep(request_id.clone(), answer.clone());
                answer
            }
        }
    }

    /// Checks a sheet against the last accepted one.
    ///
    /// A sheet whose number is not above the last accepted one cannot come into force; whether it
    /// repeats an acceptance or conflicts with one is decided as for every other operator.
    fn check_rows(
        &self,
        scope: &OperatorScope,
        number: u64,
        content: &str,
    ) -> Result<(), ClusterRejection> {
        if scope.is_unlimited() || self.sheet().is_some_and(|record| number <= record.number) {
            return Ok(());
        }
        let old = match self.sheet() {
            Some(_) => readable(self.sheet_content(), "the sheet in force")?,
            None => RuleSheet::default(),
        };
        let new = readable(content, "the sheet")?;
        let mut rows = row_differences(&old, &new);
        rows.retain(|row| !scope.covers_row(&row.database, &row.application));
        if rows.is_empty() {
            return Ok(());
        }
        let total = rows.len();
        rows.truncate(FAULT_LIMIT);
        Err(ClusterRejection::OutOfScope { rows, total })
    }
}

fn readable(content: &str, what: &str) -> Result<RuleSheet, ClusterRejection> {
    RuleSheet::parse(content.as_bytes())
        .map_err(|_| ClusterRejection::NotAllowed { detail: format!("{what} is not readable") })
}

fn check_database(scope: &OperatorScope, database: &str) -> Result<(), ClusterRejection> {
    if scope.covers_whole_database(database) {
        return Ok(());
    }
    Err(ClusterRejection::Forbidden {
        detail: format!("database {database:?} is not in the operator's scope as a whole"),
    })
}

fn needs_all_rights() -> ClusterRejection {
    ClusterRejection::Forbidden {
        detail: "only an operator with all rights may do this".to_owned(),
    }
}
