//! Functions on values.

use {
    super::evaluate::RowContext,
    crate::{
        error::SqlError,
        value::{ColumnType, Value},
    },
};

/// Version that the server reports.
pub const SERVER_VERSION: &str = "16.0 (banyansill stand-in)";

/// Longest text that `repeat` builds, so that one statement cannot use up the memory.
const REPEAT_LIMIT: usize = 16 * 1024 * 1024;

/// Function of the values of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScalarFunction {
    /// `version()`.
    Version,
    /// `pg_is_in_recovery()`.
    InRecovery,
    /// `pg_backend_pid()`.
    BackendPid,
    /// `current_database()`.
    CurrentDatabase,
    /// `pg_sleep(seconds)`.
    Sleep,
    /// `coalesce(...)`.
    Coalesce,
    /// `lower(text)`.
    Lower,
    /// `upper(text)`.
    Upper,
    /// `length(text)`.
    Length,
    /// `repeat(text, count)`.
    Repeat,
    /// `abs(number)`.
    Abs,
}

impl ScalarFunction {
    /// Returns the function with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "version" => Self::Version,
            "pg_is_in_recovery" => Self::InRecovery,
            "pg_backend_pid" => Self::BackendPid,
            "current_database" | "current_catalog" => Self::CurrentDatabase,
            "pg_sleep" => Self::Sleep,
            "coalesce" => Self::Coalesce,
            "lower" => Self::Lower,
            "upper" => Self::Upper,
            "length" | "char_length" => Self::Length,
            "repeat" => Self::Repeat,
            "abs" => Self::Abs,
            _ => return None,
        })
    }

    /// Returns the types of the parameters, or nothing if they depend on the arguments.
    pub const fn parameters(self) -> Option<&'static [ColumnType]> {
        Some(match self {
            Self::Version | Self::InRecovery | Self::BackendPid | Self::CurrentDatabase => &[],
            Self::Sleep => &[ColumnType::Float8],
            Self::Lower | Self::Upper | Self::Length => &[ColumnType::Text],
            Self::Repeat => &[ColumnType::Text, ColumnType::Int4],
            Self::Coalesce | Self::Abs => return None,
        })
    }

    /// Returns the type of the result for a first argument of type `first`.
    pub const fn result(self, first: ColumnType) -> ColumnType {
        match self {
            Self::Version | Self::CurrentDatabase | Self::Lower | Self::Upper | Self::Repeat => {
                ColumnType::Text
            }
            Self::InRecovery => ColumnType::Bool,
            Self::BackendPid | Self::Length => ColumnType::Int4,
            Self::Sleep => ColumnType::Void,
            Self::Coalesce | Self::Abs => first,
        }
    }

    /// Computes the result.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is outside its range.
    pub fn call(self, arguments: &[Value], context: &RowContext<'_>) -> Result<Value, SqlError> {
        match self {
            Self::Version => return Ok(Value::text(&format!("PostgreSQL {SERVER_VERSION}"))),
            Self::InRecovery => return Ok(Value::Bool(context.facts.recovery)),
            Self::BackendPid => return Ok(Value::Int(i64::from(context.facts.pid))),
            Self::CurrentDatabase => return Ok(Value::text(&context.facts.database)),
            Self::Coalesce => {
                let value = arguments.iter().find(|value| !value.is_null());
                return Ok(value.cloned().unwrap_or(Value::Null));
            }
            _ => {}
        }
        match (self, arguments) {
            (Self::Sleep, [Value::Float(seconds)]) => {
                if seconds.is_finite() && *seconds > 0.0 {
                    context.sleep.set(context.sleep.get() + seconds);
                }
                Ok(Value::text(""))
            }
            (Self::Lower, [Value::Text(text)]) => Ok(Value::text(&text.to_lowercase())),
            (Self::Upper, [Value::Text(text)]) => Ok(Value::text(&text.to_uppercase())),
            (Self::Length, [Value::Text(text)]) => Ok(Value::Int(text.chars().count() as i64)),
            (Self::Repeat, [Value::Text(text), Value::Int(count)]) => {
                let count = usize::try_from(*count).unwrap_or(0);
                if text.len().saturating_mul(count) > REPEAT_LIMIT {
                    return Err(SqlError::new("54000", "requested length too large"));
                }
                Ok(Value::text(&text.repeat(count)))
            }
            (Self::Abs, [Value::Int(number)]) => {
                number.checked_abs().map(Value::Int).ok_or_else(|| SqlError::out_of_range("bigint"))
            }
            (Self::Abs, [Value::Float(number)]) => Ok(Value::Float(number.abs())),
            _ => Ok(Value::Null),
        }
    }
}
