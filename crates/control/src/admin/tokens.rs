//! Bearer tokens of operators.

use {
    super::AdminError,
    sha2::{Digest, Sha256},
    std::{fmt, fs, path::Path},
    subtle::ConstantTimeEq,
};

/// Shortest token that is accepted.
const TOKEN_MINIMUM: usize = 16;

#[derive(Clone)]
struct TokenRecord {
    operator: String,
    digest: [u8; 32],
}

/// Tokens by operator; a table without tokens admits nobody.
///
/// Each line of the file is `OPERATOR TOKEN`; empty lines and lines that begin with `#` are skipped.
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
    pub fn load(path: &Path) -> Result<Self, AdminError> {
        let text = fs::read_to_string(path)
            .map_err(|source| AdminError::TokenFile { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Reads the text of a token file; `path` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not valid.
    pub fn parse(path: &Path, text: &str) -> Result<Self, AdminError> {
        let mut table = Self::default();
        for (index, line) in text.lines().enumerate() {
            let fault = |message: &str| AdminError::TokenLine {
                path: path.to_owned(),
                line: index + 1,
                message: message.to_owned(),
            };
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let Some((operator, token)) = line.split_once(char::is_whitespace) else {
                return Err(fault("expected OPERATOR TOKEN"));
            };
            let token = token.trim();
            if token.len() < TOKEN_MINIMUM || token.contains(char::is_whitespace) {
                return Err(fault("a token has at least 16 characters and no spaces"));
            }
            let digest = Sha256::digest(token.as_bytes()).into();
            table.records.push(TokenRecord { operator: operator.to_owned(), digest });
        }
        Ok(table)
    }

    /// Returns the operator of a token.
    #[must_use]
    pub fn operator(&self, token: &str) -> Option<&str> {
        let digest: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for record in &self.records {
            // Every record is compared in constant time, so that timing tells nothing of a token.
            if bool::from(record.digest.ct_eq(&digest)) {
                found = Some(record.operator.as_str());
            }
        }
        found
    }
}
