//! Scopes of operators: which rows of the sheet and which databases a team may change.

use {
    super::{
        ClusterState,
        command::{ClusterCommand, ClusterRejection, ClusterReply},
    },
    crate::{
        names::SharedName,
        sheet::{MAX_REPORTED_FAULTS, RuleSheet, SheetRule},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Databases and applications that an operator may administer; an absent list means all.
///
/// A wildcard in a row of the sheet is compared like any other name: such rows affect other teams, so
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
    /// Returns whether the scope contains all databases and all applications.
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

    /// Returns whether the scope contains the rows of a sheet with this database and application.
    #[must_use]
    pub fn covers_row(&self, database: &str, application: &str) -> bool {
        let covers_application =
            self.applications.as_ref().is_none_or(|names| names.contains(application));
        covers_application && self.covers_database(database)
    }
}

/// How a row of a new sheet differs from the last accepted sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowChange {
    /// Only the new sheet has the row.
    Added,
    /// Both sheets have the row, with different values.
    Changed,
    /// Only the last accepted sheet has the row.
    Removed,
}

/// A row of a sheet that differs from the last accepted sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowDifference {
    /// Database, or the wildcard.
    pub database: SharedName,
    /// Application, or the wildcard.
    pub application: SharedName,
    /// Kind of request, or the wildcard.
    pub kind: SharedName,
    /// How the row differs.
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

/// Returns the rows in which two sheets differ, ordered by database, application and kind.
///
/// The order of the rows in the files is ignored, since it has no effect on requests.
#[must_use]
pub fn row_differences(old: &RuleSheet, new: &RuleSheet) -> Vec<RowDifference> {
    let (old, new) = (rules_by_key(old), rules_by_key(new));
    let mut differences = Vec::new();
    let mut push = |rule: &SheetRule, change| {
        differences.push(RowDifference {
            database: rule.database.clone(),
            application: rule.application.clone(),
            kind: rule.kind.clone(),
            change,
        });
    };
    for (key, rule) in &new {
        match old.get(key) {
            None => push(rule, RowChange::Added),
            Some(before) if before != rule => push(rule, RowChange::Changed),
            Some(_) => {}
        }
    }
    for (key, rule) in &old {
        if !new.contains_key(key) {
            push(rule, RowChange::Removed);
        }
    }
    differences.sort();
    differences
}

type RowKey<'a> = (&'a str, &'a str, &'a str);

fn rules_by_key(sheet: &RuleSheet) -> BTreeMap<RowKey<'_>, &SheetRule> {
    let mut rules = BTreeMap::new();
    for rule in sheet.rules() {
        let key: RowKey<'_> = (&rule.database, &rule.application, &rule.kind);
        rules.insert(key, rule);
    }
    rules
}

impl ClusterState {
    /// Applies a command of a scoped operator, who may only apply sheets and drain targets.
    pub(super) fn apply_scoped(
        &mut self,
        index: u64,
        scope: &OperatorScope,
        command: ClusterCommand,
    ) -> ClusterReply {
        let (check_result, request_id) = match &command {
            ClusterCommand::ApplySheet { number, content, request_id, .. } => {
                (self.check_rows(scope, *number, content), request_id)
            }
            ClusterCommand::DrainTarget { database, request_id, .. } => {
                (check_whole_database(scope, database), request_id)
            }
            _ if scope.is_unlimited() => return self.apply_command(index, command),
            _ => return ClusterReply::Rejected(needs_all_rights()),
        };
        // A stored reply takes precedence over the check: the retry of an accepted sheet stays accepted
        // after other teams have changed their rows.
        if let Some(reply) = self.data.requests.find(request_id) {
            return reply;
        }
        match check_result {
            Ok(()) => self.apply_command(index, command),
            Err(rejection) => {
                let reply = ClusterReply::Rejected(rejection);
                self.data.requests.store(request_id.clone(), reply.clone());
                reply
            }
        }
    }

    /// Checks that a sheet changes no rows of the last accepted one outside the scope.
    ///
    /// A sheet whose number is not greater than that of the last accepted one passes: it cannot become
    /// the current sheet, and whether it is a retry or a conflict is decided as for an operator with
    /// all rights.
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
            Some(_) => parse_sheet(self.sheet_content(), "the sheet in force")?,
            None => RuleSheet::default(),
        };
        let new = parse_sheet(content, "the sheet")?;
        let mut rows = row_differences(&old, &new);
        rows.retain(|row| !scope.covers_row(&row.database, &row.application));
        if rows.is_empty() {
            return Ok(());
        }
        let total = rows.len();
        rows.truncate(MAX_REPORTED_FAULTS);
        Err(ClusterRejection::OutOfScope { rows, total })
    }
}

fn parse_sheet(content: &str, what: &str) -> Result<RuleSheet, ClusterRejection> {
    RuleSheet::parse(content.as_bytes())
        .map_err(|_| ClusterRejection::NotAllowed { detail: format!("{what} is not readable") })
}

fn check_whole_database(scope: &OperatorScope, database: &str) -> Result<(), ClusterRejection> {
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
