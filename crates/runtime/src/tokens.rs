//! Bearer tokens of operators and their scopes.

use {
    crate::events::EventRecord,
    banyansill_core::{cluster::OperatorScope, names::SharedName, sheet::WILDCARD},
    miette::Diagnostic,
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeSet,
        fmt, fs, io,
        path::{Path, PathBuf},
        sync::Arc,
    },
    subtle::ConstantTimeEq,
    thiserror::Error,
};

/// Minimum length of a token in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Reason why a token file cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("token file {path}: {source}")]
    #[diagnostic(code(banyansill::tokens))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A line of the file is not valid.
    #[error("token file {path}, line {line}: {message}")]
    #[diagnostic(code(banyansill::tokens))]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line; the first is 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
}

/// Operator to whom a token belongs, with the scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAccess {
    /// Name of the operator.
    pub operator: String,
    /// Databases and applications that the operator may see and change.
    pub scope: OperatorScope,
}

#[derive(Clone)]
struct TokenRecord {
    access: OperatorAccess,
    digest: [u8; 32],
}

/// Tokens of the operators; an empty table grants no access.
///
/// Each line of the file is `OPERATOR TOKEN`, followed by `databases=a,b` and `applications=x,y` to limit the
/// operator's scope; empty lines and lines that begin with `#` are skipped.
#[derive(Clone, Default)]
pub struct TokenTable {
    records: Vec<TokenRecord>,
}

impl fmt::Debug for TokenTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "TokenTable({} tokens)", self.records.len())
    }
}

impl TokenTable {
    /// Reads a token file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a line is not valid.
    pub fn load(path: &Path) -> Result<Self, TokenError> {
        let text = fs::read_to_string(path)
            .map_err(|source| TokenError::File { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Parses the text of a token file; `path` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not valid.
    pub fn parse(path: &Path, text: &str) -> Result<Self, TokenError> {
        let mut table = Self::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let record = parse_record(line).and_then(|record| {
                // Which scope a shared token has would depend on the order of the lines.
                let shared = table.records.iter().any(|other| other.digest == record.digest);
                if shared { Err("the token is given twice".to_owned()) } else { Ok(record) }
            });
            match record {
                Ok(record) => table.records.push(record),
                Err(message) => {
                    let path = path.to_owned();
                    return Err(TokenError::Line { path, line: index + 1, message });
                }
            }
        }
        Ok(table)
    }

    /// Returns the operator of a token and the scope, or `None` if the token is unknown.
    #[must_use]
    pub fn access(&self, token: &str) -> Option<&OperatorAccess> {
        let digest: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for record in &self.records {
            // Compares every record in constant time, so that the timing reveals nothing about a token.
            if bool::from(record.digest.ct_eq(&digest)) {
                found = Some(&record.access);
            }
        }
        found
    }

    /// Returns the operator for the value of an `Authorization` header, `Bearer TOKEN`.
    #[must_use]
    pub fn bearer(&self, header: &str) -> Option<&OperatorAccess> {
        self.access(header.strip_prefix("Bearer ")?)
    }

    /// Returns the operator's name for a token, or `None` if the token is unknown.
    #[must_use]
    pub fn operator(&self, token: &str) -> Option<&str> {
        self.access(token).map(|access| access.operator.as_str())
    }
}

fn parse_record(line: &str) -> Result<TokenRecord, String> {
    let mut words = line.split_whitespace();
    let (Some(operator), Some(token)) = (words.next(), words.next()) else {
        return Err("expected OPERATOR TOKEN".to_owned());
    };
    if token.len() < MIN_TOKEN_BYTES {
        return Err(format!("a token has at least {MIN_TOKEN_BYTES} characters and no spaces"));
    }
    let mut scope = OperatorScope::default();
    for word in words {
        let (field, names) = match word.split_once('=') {
            Some(("databases", names)) => (&mut scope.databases, names),
            Some(("applications", names)) => (&mut scope.applications, names),
            _ => return Err(format!("{word:?} is not databases=a,b or applications=x,y")),
        };
        if field.is_some() {
            return Err(format!("{word:?} repeats a list"));
        }
        *field = Some(parse_names(names)?);
    }
    let access = OperatorAccess { operator: operator.to_owned(), scope };
    Ok(TokenRecord { access, digest: Sha256::digest(token.as_bytes()).into() })
}

fn parse_names(list: &str) -> Result<BTreeSet<SharedName>, String> {
    let mut names = BTreeSet::new();
    for name in list.split(',') {
        if name.is_empty() {
            return Err("a list contains an empty name".to_owned());
        }
        // Rows with a wildcard affect the databases and applications of other teams.
        if name == WILDCARD {
            return Err(format!("{WILDCARD:?} is not a name; omit the list to allow all"));
        }
        names.insert(name.into());
    }
    Ok(names)
}

/// Tokens that grant access to the administration interfaces of a process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct AccessPolicy {
    tokens: Option<Arc<TokenTable>>,
}

impl AccessPolicy {
    /// Reads the token file of the settings, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a line is not valid.
    pub fn load(path: Option<&Path>) -> Result<Self, TokenError> {
        let tokens = path.map(TokenTable::load).transpose()?;
        Ok(Self { tokens: tokens.map(Arc::new) })
    }

    /// Returns the operator for the value of an `Authorization` header, or `None` without a token file.
    #[must_use]
    pub fn operator(&self, header: Option<&str>) -> Option<OperatorAccess> {
        self.tokens.as_ref()?.bearer(header?).cloned()
    }

    /// Returns the operator for the value of an `Authorization` header, or an unnamed operator with all
    /// rights if the settings name no token file.
    #[must_use]
    pub fn operator_or_open(&self, header: Option<&str>) -> Option<OperatorAccess> {
        if self.tokens.is_some() {
            return self.operator(header);
        }
        Some(OperatorAccess { operator: String::new(), scope: OperatorScope::default() })
    }
}

/// Removes the events that an operator may not see: those of databases outside the scope.
///
/// Events without a database concern the whole deployment and are visible only to operators whose scope has
/// no list of databases.
pub fn retain_visible(events: &mut Vec<EventRecord>, scope: &OperatorScope) {
    if scope.databases.is_none() {
        return;
    }
    events.retain(|event| {
        event.fields.get("database").is_some_and(|name| scope.covers_database(name))
    });
}
