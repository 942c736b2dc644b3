//! Terms and log positions of a database group.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Term of a database group; each promotion of a primary starts a new, greater term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTerm(pub u64);

/// Position in a database group's log, ordered by term and then by offset.
///
/// The text form is `term:offset`, as in the `group_position` parameter that a target reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote the entry.
    pub term: LogTerm,
    /// Number of log entries up to and including this one, over all terms.
    pub offset: u64,
}

impl LogPosition {
    /// Position before the first entry.
    pub const ZERO: Self = Self { term: LogTerm(0), offset: 0 };

    /// Creates a position from its term and offset.
    #[must_use]
    pub const fn new(term: u64, offset: u64) -> Self {
        Self { term: LogTerm(term), offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.term.0, self.offset)
    }
}

/// Error for text that is not a log position; holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a log position of the form term:offset: {0:?}")]
pub struct PositionError(pub String);

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || PositionError(text.to_owned());
        let (term, offset) = text.split_once(':').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        let offset = offset.parse().map_err(|_| error())?;
        Ok(Self::new(term, offset))
    }
}
