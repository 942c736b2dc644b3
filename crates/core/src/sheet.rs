//! The sheet: rules for what each kind of request may use and how old its answer may be.
//!
//! A sheet is a CSV file with a header and one rule per row; `docs/sheet.md` describes the columns.
//! A sheet is valid as a whole or refused as a whole.

use {
    crate::{collections::FastMap, names::SharedName, time::Micros},
    serde::{Deserialize, Serialize},
    std::{fmt, io::Cursor},
};

/// Columns of a sheet; the order in a file is free, the set is not.
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

/// Name that stands for every database, application or kind without a rule of its own.
pub const WILDCARD: &str = "*";

/// Longest deadline a rule may set, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 86_400_000;

/// Whether requests of a kind may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleAccess {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// Which targets may serve requests of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleTargets {
    /// Only the primary.
    Primary,
    /// Only replicas.
    Replica,
    /// Replicas first, then the primary.
    Any,
}

/// When a commit is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleAck {
    /// When the primary has answered.
    Primary,
    /// When a second server has reported the commit's position as well.
    Replica,
}

/// One rule of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRule {
    /// Database, or the wildcard.
    pub database: SharedName,
    /// Application of the caller, or the wildcard.
    pub application: SharedName,
    /// Kind of the request, or the wildcard.
    pub kind: SharedName,
    /// Whether requests may write.
    pub access: RuleAccess,
    /// Targets that may serve them.
    pub targets: RuleTargets,
    /// Greatest age of an answer; `None` is unlimited.
    pub max_age: Option<Micros>,
    /// When a commit is acknowledged.
    pub ack: RuleAck,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority from 0, the most urgent, to 9.
    pub priority: u32,
    /// Time after which an answer is worthless to the caller.
    pub deadline: Micros,
    /// Requests of the application and kind that may run at a time per target.
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

/// One fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetFault {
    /// Row in the file, counted from 1 for the header; 0 for the file as a whole.
    pub row: u32,
    /// Name of the column, or empty for the whole row.
    pub column: String,
    /// What is wrong.
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

/// A valid sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSheet {
    rules: Vec<SheetRule>,
    index: FastMap<RuleKey, usize>,
}

impl RuleSheet {
    /// Parses and checks the CSV text of a sheet.
    ///
    /// # Errors
    ///
    /// Returns every fault, up to `MAX_REPORTED_FAULTS`, if the sheet is not valid.
    pub fn parse(content: &[u8]) -> Result<Self, Vec<SheetFault>> {
        SheetParser::default().parse(content)
    }

    /// Returns the rules in the order of the file.
    #[must_use]
    pub fn rules(&self) -> &[SheetRule] {
        &self.rules
    }

    /// Returns a header and the rules that `keep` selects as CSV text.
    #[must_use]
    pub fn render<F>(&self, keep: F) -> String
    where
        F: Fn(&SheetRule) -> bool,
    {
        let mut writer = csv::Writer::from_writer(Vec::new());
        // A writer to memory does not fail.
        let _ = writer.write_record(COLUMNS);
        for rule in &self.rules {
            if keep(rule) {
                let _ = writer.write_record(rule.fields());
            }
        }
        String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
    }

    /// Returns the most specific rule for a request.
    ///
    /// A rule that names the kind goes before one with a wildcard kind; after that the application
    /// counts before the database.
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
            self.fault(0, "", format!("larger than {MAX_SHEET_BYTES} bytes"));
            return Err(self.faults);
        }
        let content = content.strip_prefix(b"\xef\xbb\xbf").unwrap_or(content);
        let mut reader = csv::ReaderBuilder::new()
            .flexible(true)
            .trim(csv::Trim::All)
            .from_reader(Cursor::new(content));
        let Some(columns) = self.read_header(&mut reader) else { return Err(self.faults) };
        // Rows are counted as a spreadsheet does: a field with line breaks is still one row.
        for (row, record) in (2..).zip(reader.records()) {
            match record {
                Ok(record) => self.read_row(row, &columns, &record),
                Err(error) => {
                    self.fault(row, "", format!("not readable as CSV text: {error}"));
                }
            }
        }
        if self.sheet.rules.is_empty() && self.faults.is_empty() {
            self.fault(0, "", "no rules".to_owned());
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
                self.fault(1, "", format!("not readable as CSV text: {error}"));
                return None;
            }
        };
        let mut columns = FastMap::default();
        for (position, name) in header.iter().enumerate() {
            let Some(column) = COLUMNS.into_iter().find(|column| *column == name) else {
                self.fault(1, name, "is not a known column".to_owned());
                continue;
            };
            if columns.insert(column, position).is_some() {
                self.fault(1, name, "is given twice".to_owned());
            }
        }
        for column in COLUMNS {
            if !columns.contains_key(column) {
                self.fault(1, column, "is missing".to_owned());
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
            self.fault(row, "", message);
            return;
        }
        let field = |column: &str| columns.get(column).and_then(|at| record.get(*at)).unwrap_or("");
        let before = self.faults.len();
        let rule = SheetRule {
            database: self.name(row, "database", field("database")),
            application: self.name(row, "application", field("application")),
            kind: self.name(row, "kind", field("kind")),
            access: self.choice(
                row,
                "access",
                field("access"),
                &[("read", RuleAccess::Read), ("write", RuleAccess::Write)],
            ),
            targets: self.choice(
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
                .optional_number(row, "max_age_ms", field("max_age_ms"), 0, DEADLINE_LIMIT_MS)
                .map(Micros::from_millis),
            ack: self.choice(
                row,
                "ack",
                field("ack"),
                &[("primary", RuleAck::Primary), ("replica", RuleAck::Replica)],
            ),
            repeatable: self.choice(
                row,
                "repeatable",
                field("repeatable"),
                &[("no", false), ("yes", true)],
            ),
            priority: narrow(self.number(row, "priority", field("priority"), 0, 9)),
            deadline: Micros::from_millis(self.number(
                row,
                "deadline_ms",
                field("deadline_ms"),
                1,
                DEADLINE_LIMIT_MS,
            )),
            max_concurrent: self
                .optional_number(row, "max_concurrent", field("max_concurrent"), 1, 10_000)
                .map(narrow),
        };
        if rule.access == RuleAccess::Write && rule.targets != RuleTargets::Primary {
            self.fault(row, "targets", "must be primary where access is write".to_owned());
        }
        let key = (rule.database.clone(), rule.application.clone(), rule.kind.clone());
        if let Some(first) = self.rows.insert(key.clone(), row) {
            self.fault(row, "kind", format!("repeats the rule of row {first}"));
        }
        if self.faults.len() == before {
            self.sheet.index.insert(key, self.sheet.rules.len());
            self.sheet.rules.push(rule);
        }
    }

    fn name(&mut self, row: u32, column: &str, text: &str) -> SharedName {
        if text.is_empty() {
            self.fault(row, column, "must not be empty".to_owned());
        }
        if text.chars().any(char::is_control) {
            self.fault(row, column, "must not contain control characters".to_owned());
        }
        SharedName::from(text)
    }

    fn choice<T>(&mut self, row: u32, column: &str, text: &str, choices: &[(&str, T)]) -> T
    where
        T: Copy,
    {
        for (name, value) in choices {
            if *name == text {
                return *value;
            }
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.fault(row, column, format!("{text:?} is not one of {}", names.join(", ")));
        choices[0].1
    }

    fn optional_number(
        &mut self,
        row: u32,
        column: &str,
        text: &str,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        if text.is_empty() { None } else { Some(self.number(row, column, text, low, high)) }
    }

    fn number(&mut self, row: u32, column: &str, text: &str, low: u64, high: u64) -> u64 {
        match text.parse::<u64>() {
            Ok(number) if (low..=high).contains(&number) => number,
            _ => {
                let message = format!("{text:?} is not a whole number from {low} to {high}");
                self.fault(row, column, message);
                low
            }
        }
    }

    fn fault(&mut self, row: u32, column: &str, message: String) {
        if self.faults.len() < MAX_REPORTED_FAULTS {
            self.faults.push(SheetFault { row, column: column.to_owned(), message });
        }
    }
}

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
