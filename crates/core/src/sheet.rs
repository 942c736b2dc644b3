//! The sheet: rules for which targets each kind of request may use and how stale its result may be.
//!
//! A sheet is a CSV file with a header and one rule per row; `docs/sheet.md` describes the columns.
//! A sheet with any fault is refused as a whole.

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    serde::{Deserialize, Serialize},
    std::{fmt, io::Cursor},
};

/// Columns of a sheet; a file must have exactly these, in any order.
pub const COLUMNS: [&str; 11] = [
    "database",
    "application",
    "kind",
    "access",
    "targets",
    "max_age_ms",
    "ack",
    "repeatable",
    "priority",
    "deadline_ms",
    "max_concurrent",
];

/// Largest size of a sheet that is accepted, in bytes.
pub const MAX_SHEET_BYTES: usize = 1 << 20;

/// Number of faults reported for one sheet; further ones are dropped.
pub const MAX_REPORTED_FAULTS: usize = 200;

/// Name that matches every database, application or kind without a more specific rule.
pub const WILDCARD: &str = "*";

/// Greatest deadline or maximum age that a rule may set, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Whether requests that match a rule may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleAccess {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// Which targets may serve requests that match a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleTargets {
    /// Only the primary.
    Primary,
    /// Only replicas.
    Replica,
    /// Replicas first, then the primary.
    Any,
}

/// When a commit is acknowledged to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleAck {
    /// As soon as the primary has confirmed it.
    Primary,
    /// Once a second server has reported the position of the commit as well.
    Replica,
}

/// A rule of a sheet: the limits for requests that match its database, application and kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRule {
    /// Database group, or the wildcard.
    pub database: SharedName,
    /// Application of the caller, or the wildcard.
    pub application: SharedName,
    /// Kind of the request, or the wildcard.
    pub kind: SharedName,
    /// Whether matching requests may change data.
    pub access: RuleAccess,
    /// Targets that may serve matching requests.
    pub targets: RuleTargets,
    /// Maximum staleness of the result of a read; `None` is unlimited.
    pub max_age: Option<Micros>,
    /// When a commit is acknowledged to the caller.
    pub ack: RuleAck,
    /// Whether a request may be executed more than once, so that a failed one may be retried.
    pub repeatable: bool,
    /// Priority from 0, the most urgent, to 9.
    pub priority: u32,
    /// Time after which the caller has no use for the result.
    pub deadline: Micros,
    /// Maximum number of requests of the application and kind that run concurrently on a target;
    /// `None` is unlimited.
    pub max_concurrent: Option<u32>,
}

impl SheetRule {
    /// Returns the values of the rule as text, in the order of `COLUMNS`.
    #[must_use]
    pub fn fields(&self) -> [String; COLUMNS.len()] {
        let millis = |value: Micros| value.as_millis().to_string();
        let access = match self.access {
            RuleAccess::Read => "read",
            RuleAccess::Write => "write",
        };
        let targets = match self.targets {
            RuleTargets::Primary => "primary",
            RuleTargets::Replica => "replica",
            RuleTargets::Any => "any",
        };
        let ack = match self.ack {
            RuleAck::Primary => "primary",
            RuleAck::Replica => "replica",
        };
        [
            self.database.to_string(),
            self.application.to_string(),
            self.kind.to_string(),
            access.to_owned(),
            targets.to_owned(),
            self.max_age.map(millis).unwrap_or_default(),
            ack.to_owned(),
            if self.repeatable { "yes" } else { "no" }.to_owned(),
            self.priority.to_string(),
            millis(self.deadline),
            self.max_concurrent.map(|limit| limit.to_string()).unwrap_or_default(),
        ]
    }
}

/// A validation fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetFault {
    /// Row in the file, counted from 1 for the header; 0 for the file as a whole.
    pub row: u32,
    /// Name of the column, or empty for the whole row.
    pub column: String,
    /// Description of the fault, for the operator.
    pub message: String,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.row, self.column.as_str()) {
            (0, _) => write!(formatter, "{}", self.message),
            (row, "") => write!(formatter, "row {row}: {}", self.message),
            (row, column) => write!(formatter, "row {row}, column {column}: {}", self.message),
        }
    }
}

type RuleKey = (SharedName, SharedName, SharedName);

/// A valid sheet, indexed by database, application and kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSheet {
    rules: Vec<SheetRule>,
    index: FastMap<RuleKey, usize>,
}

impl RuleSheet {
    /// Parses and validates the CSV text of a sheet.
    ///
    /// # Errors
    ///
    /// Returns the faults, up to `MAX_REPORTED_FAULTS`, if the sheet is not valid.
    pub fn parse(content: &[u8]) -> Result<Self, Vec<SheetFault>> {
        SheetParser::default().parse(content)
    }

    /// Returns the rules in the order of the file.
    #[must_use]
    pub fn rules(&self) -> &[SheetRule] {
        &self.rules
    }

    /// Returns the header and the rules that `filter` selects as CSV text.
    #[must_use]
    pub fn render<F>(&self, filter: F) -> String
    where
        F: Fn(&SheetRule) -> bool,
    {
        let mut writer = csv::Writer::from_writer(Vec::new());
        // Writing to memory does not fail.
        let _ = writer.write_record(COLUMNS);
        for rule in &self.rules {
            if filter(rule) {
                let _ = writer.write_record(rule.fields());
            }
        }
        String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
    }

    /// Returns the most specific rule for a request.
    ///
    /// A rule that names the kind takes precedence over one with a wildcard kind. Among these, a rule
    /// that names the application takes precedence, and then one that names the database.
    #[must_use]
    pub fn find(&self, database: &str, application: &str, kind: &str) -> Option<&SheetRule> {
        for kind in [kind, WILDCARD] {
            for application in [application, WILDCARD] {
                for database in [database, WILDCARD] {
                    let key = (database.into(), application.into(), kind.into());
                    let Some(&position) = self.index.get(&key) else { continue };
                    return self.rules.get(position);
                }
            }
        }
        None
    }
}

#[derive(Debug, Default)]
struct SheetParser {
    sheet: RuleSheet,
    faults: Vec<SheetFault>,
    rows: FastMap<RuleKey, u32>,
}

impl SheetParser {
    fn parse(mut self, content: &[u8]) -> Result<RuleSheet, Vec<SheetFault>> {
        if content.len() > MAX_SHEET_BYTES {
            self.report_fault(0, "", format!("larger than {MAX_SHEET_BYTES} bytes"));
            return Err(self.faults);
        }
        let content = content.strip_prefix(b"\xef\xbb\xbf").unwrap_or(content);
        let mut reader = csv::ReaderBuilder::new()
            .flexible(true)
            .trim(csv::Trim::All)
            .from_reader(Cursor::new(content));
        let Some(columns) = self.read_header(&mut reader) else { return Err(self.faults) };
        // Rows are numbered as in a spreadsheet: a field with line breaks does not start a new row.
        for (row, record) in (2..).zip(reader.records()) {
            match record {
                Ok(record) => self.read_row(row, &columns, &record),
                Err(error) => {
                    self.report_fault(row, "", format!("not readable as CSV text: {error}"));
                }
            }
        }
        if self.sheet.rules.is_empty() && self.faults.is_empty() {
            self.report_fault(0, "", "no rules".to_owned());
        }
        if self.faults.is_empty() { Ok(self.sheet) } else { Err(self.faults) }
    }

    fn read_header<R>(
        &mut self,
        reader: &mut csv::Reader<R>,
    ) -> Option<FastMap<&'static str, usize>>
    where
        R: std::io::Read,
    {
        let header = match reader.headers() {
            Ok(header) => header.clone(),
            Err(error) => {
                self.report_fault(1, "", format!("not readable as CSV text: {error}"));
                return None;
            }
        };
        let mut columns = FastMap::default();
        for (position, name) in header.iter().enumerate() {
            let Some(column) = COLUMNS.into_iter().find(|column| *column == name) else {
                self.report_fault(1, name, "is not a known column".to_owned());
                continue;
            };
            if columns.insert(column, position).is_some() {
                self.report_fault(1, name, "is given twice".to_owned());
            }
        }
        for column in COLUMNS {
            if !columns.contains_key(column) {
                self.report_fault(1, column, "is missing".to_owned());
            }
        }
        self.faults.is_empty().then_some(columns)
    }

    fn read_row(
        &mut self,
        row: u32,
        columns: &FastMap<&'static str, usize>,
        record: &csv::StringRecord,
    ) {
        if record.len() != COLUMNS.len() {
            let message = format!("has {} fields, the header has {}", record.len(), COLUMNS.len());
            self.report_fault(row, "", message);
            return;
        }
        let field = |column: &str| columns.get(column).and_then(|at| record.get(*at)).unwrap_or("");
        let previous_faults = self.faults.len();
        let rule = SheetRule {
            database: self.parse_name(row, "database", field("database")),
            application: self.parse_name(row, "application", field("application")),
            kind: self.parse_name(row, "kind", field("kind")),
            access: self.parse_choice(
                row,
                "access",
                field("access"),
                &[("read", RuleAccess::Read), ("write", RuleAccess::Write)],
            ),
            targets: self.parse_choice(
                row,
                "targets",
                field("targets"),
                &[
                    ("primary", RuleTargets::Primary),
                    ("replica", RuleTargets::Replica),
                    ("any", RuleTargets::Any),
                ],
            ),
            max_age: self
                .parse_optional_number(row, "max_age_ms", field("max_age_ms"), 0, MAX_DURATION_MS)
                .map(Micros::from_millis),
            ack: self.parse_choice(
                row,
                "ack",
                field("ack"),
                &[("primary", RuleAck::Primary), ("replica", RuleAck::Replica)],
            ),
            repeatable: self.parse_choice(
                row,
                "repeatable",
                field("repeatable"),
                &[("no", false), ("yes", true)],
            ),
            priority: saturating_u32(self.parse_number(row, "priority", field("priority"), 0, 9)),
            deadline: Micros::from_millis(self.parse_number(
                row,
                "deadline_ms",
                field("deadline_ms"),
                1,
                MAX_DURATION_MS,
            )),
            max_concurrent: self
                .parse_optional_number(row, "max_concurrent", field("max_concurrent"), 1, 10_000)
                .map(saturating_u32),
        };
        if rule.access == RuleAccess::Write && rule.targets != RuleTargets::Primary {
            self.report_fault(row, "targets", "must be primary where access is write".to_owned());
        }
        let key = (rule.database.clone(), rule.application.clone(), rule.kind.clone());
        if let Some(first) = self.rows.insert(key.clone(), row) {
            self.report_fault(row, "kind", format!("repeats the rule of row {first}"));
        }
        if self.faults.len() == previous_faults {
            self.sheet.index.insert(key, self.sheet.rules.len());
            self.sheet.rules.push(rule);
        }
    }

    fn parse_name(&mut self, row: u32, column: &str, text: &str) -> SharedName {
        if text.is_empty() {
            self.report_fault(row, column, "must not be empty".to_owned());
        }
        if text.chars().any(char::is_control) {
            self.report_fault(row, column, "must not contain control characters".to_owned());
        }
        SharedName::from(text)
    }

    fn parse_choice<T>(&mut self, row: u32, column: &str, text: &str, choices: &[(&str, T)]) -> T
    where
        T: Copy,
    {
        for (name, value) in choices {
            if *name == text {
                return *value;
            }
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.report_fault(row, column, format!("{text:?} is not one of {}", names.join(", ")));
        choices[0].1
    }

    fn parse_optional_number(
        &mut self,
        row: u32,
        column: &str,
        text: &str,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        if text.is_empty() { None } else { Some(self.parse_number(row, column, text, low, high)) }
    }

    fn parse_number(&mut self, row: u32, column: &str, text: &str, low: u64, high: u64) -> u64 {
        match text.parse::<u64>() {
            Ok(number) if (low..=high).contains(&number) => number,
            _ => {
                let message = format!("{text:?} is not a whole number from {low} to {high}");
                self.report_fault(row, column, message);
                low
            }
        }
    }

    fn report_fault(&mut self, row: u32, column: &str, message: String) {
        if self.faults.len() < MAX_REPORTED_FAULTS {
            self.faults.push(SheetFault { row, column: column.to_owned(), message });
        }
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
