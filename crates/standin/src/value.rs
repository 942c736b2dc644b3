//! Values, their types and their text and binary forms.

use {
    crate::error::SqlError,
    bytes::{BufMut, BytesMut},
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, fmt, sync::Arc},
};

/// Type of a column, parameter or expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColumnType {
    /// `boolean`.
    Bool,
    /// `integer`.
    Int4,
    /// `bigint`.
    Int8,
    /// `double precision`; only in expressions, not in tables.
    Float8,
    /// `text`.
    Text,
    /// Result of a function without a value.
    Void,
}

impl ColumnType {
    /// Returns the type's number in the protocol.
    pub const fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float8 => 701,
            Self::Void => 2278,
        }
    }

    /// Returns the type with a number; `varchar` and `unknown` are text here.
    pub const fn from_oid(oid: u32) -> Option<Self> {
        match oid {
            16 => Some(Self::Bool),
            20 => Some(Self::Int8),
            23 => Some(Self::Int4),
            25 | 705 | 1043 => Some(Self::Text),
            701 => Some(Self::Float8),
            2278 => Some(Self::Void),
            _ => None,
        }
    }

    /// Returns the fixed size of the binary form, or -1.
    pub const fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 | Self::Void => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Text => -1,
        }
    }

    /// Returns whether values of the type are numbers.
    pub const fn is_number(self) -> bool {
        matches!(self, Self::Int4 | Self::Int8 | Self::Float8)
    }
}

impl fmt::Display for ColumnType {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Bool => "boolean",
            Self::Int4 => "integer",
            Self::Int8 => "bigint",
            Self::Float8 => "double precision",
            Self::Text => "text",
            Self::Void => "void",
        })
    }
}

/// One value; its exact type is known from the column or expression it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// SQL null.
    Null,
    /// Truth value.
    Bool(bool),
    /// Whole number.
    Int(i64),
    /// Floating-point number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
}

/// Values of one row.
pub type SharedRow = Arc<[Value]>;

/// Key of a unique index; never contains null.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexKey(pub Vec<Value>);

impl Eq for IndexKey {}

impl PartialOrd for IndexKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for IndexKey {
    fn cmp(&self, other: &Self) -> Ordering {
        for (left, right) in self.0.iter().zip(&other.0) {
            let order = left.order(right);
            if order != Ordering::Equal {
                return order;
            }
        }
        self.0.len().cmp(&other.0.len())
    }
}

impl Value {
    /// Creates a text value.
    pub fn text(text: &str) -> Self {
        Self::Text(Arc::from(text))
    }

    /// Returns whether the value is null.
    pub const fn is_null(&self) -> bool {
        matches!(self, Self::Null)
    }

    /// Orders two values of one type; null comes last.
    pub fn order(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Bool(left), Self::Bool(right)) => left.cmp(right),
            (Self::Int(left), Self::Int(right)) => left.cmp(right),
            (Self::Float(left), Self::Float(right)) => left.total_cmp(right),
            (Self::Int(left), Self::Float(right)) => (*left as f64).total_cmp(right),
            (Self::Float(left), Self::Int(right)) => left.total_cmp(&(*right as f64)),
            (Self::Text(left), Self::Text(right)) => left.cmp(right),
            _ => self.rank().cmp(&other.rank()),
        }
    }

    const fn rank(&self) -> u8 {
        match self {
            Self::Bool(_) => 0,
            Self::Int(_) | Self::Float(_) => 1,
            Self::Text(_) => 2,
            Self::Null => 3,
        }
    }

    /// Reads the text form of a value.
    ///
    /// # Errors
    ///
    /// Returns 22P02 or 22003 if the text is not a value of the type.
    pub fn parse(text: &str, kind: ColumnType) -> Result<Self, SqlError> {
        let invalid =
            || SqlError::new("22P02", format!("invalid input syntax for type {kind}: \"{text}\""));
        let trimmed = text.trim();
        match kind {
            ColumnType::Text => Ok(Self::text(text)),
            ColumnType::Void => Ok(Self::text("")),
            ColumnType::Float8 => trimmed.parse().map(Self::Float).map_err(|_| invalid()),
            ColumnType::Bool => match trimmed.to_ascii_lowercase().as_str() {
                "t" | "true" | "yes" | "on" | "1" | "y" => Ok(Self::Bool(true)),
                "f" | "false" | "no" | "off" | "0" | "n" => Ok(Self::Bool(false)),
                _ => Err(invalid()),
            },
            ColumnType::Int4 | ColumnType::Int8 => {
                let number: i128 = trimmed.parse().map_err(|_| invalid())?;
                let number = i64::try_from(number)
                    .map_err(|_| SqlError::out_of_range(&format!("value for type {kind}")))?;
                Self::Int(number).fit(kind)
            }
        }
    }

    /// Checks that a number lies in the range of its type.
    ///
    /// # Errors
    ///
    /// Returns 22003 if it does not.
    pub fn fit(self, kind: ColumnType) -> Result<Self, SqlError> {
        if let (Self::Int(number), ColumnType::Int4) = (&self, kind)
            && i32::try_from(*number).is_err()
        {
            return Err(SqlError::out_of_range("integer"));
        }
        Ok(self)
    }

    /// Reads the binary form of a value.
    ///
    /// # Errors
    ///
    /// Returns 22P03 if the bytes are not a value of the type.
    pub fn from_binary(bytes: &[u8], kind: ColumnType) -> Result<Self, SqlError> {
        let invalid =
            |_| SqlError::new("22P03", format!("incorrect binary data format for type {kind}"));
        match kind {
            ColumnType::Bool => {
                let [byte]: [u8; 1] = bytes.try_into().map_err(invalid)?;
                Ok(Self::Bool(byte != 0))
            }
            ColumnType::Int4 => {
                let bytes = bytes.try_into().map_err(invalid)?;
                Ok(Self::Int(i64::from(i32::from_be_bytes(bytes))))
            }
            ColumnType::Int8 => {
                Ok(Self::Int(i64::from_be_bytes(bytes.try_into().map_err(invalid)?)))
            }
            ColumnType::Float8 => {
                Ok(Self::Float(f64::from_be_bytes(bytes.try_into().map_err(invalid)?)))
            }
            ColumnType::Text | ColumnType::Void => Ok(Self::text(utf8(bytes)?)),
        }
    }

    /// Reads the text form of a value from bytes.
    ///
    /// # Errors
    ///
    /// Returns 22021 if the bytes are not UTF-8, else as [`Value::parse`].
    pub fn from_text(bytes: &[u8], kind: ColumnType) -> Result<Self, SqlError> {
        Self::parse(utf8(bytes)?, kind)
    }

    /// Appends the value as a field of a data row: length and content.
    pub fn encode(&self, kind: ColumnType, binary: bool, out: &mut BytesMut) {
        if self.is_null() {
            out.put_i32(-1);
            return;
        }
        let start = out.len();
        out.put_i32(0);
        match (self, binary) {
            (Self::Bool(value), true) => out.put_u8(u8::from(*value)),
            (Self::Int(value), true) => match kind {
                ColumnType::Int4 => out.put_i32(i32::try_from(*value).unwrap_or_default()),
                ColumnType::Float8 => out.put_f64(*value as f64),
                _ => out.put_i64(*value),
            },
            (Self::Float(value), true) => out.put_f64(*value),
            (Self::Text(value), _) => out.put_slice(value.as_bytes()),
            _ => out.put_slice(self.to_string().as_bytes()),
        }
        let length = i32::try_from(out.len() - start - 4).unwrap_or(i32::MAX);
        out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => Ok(()),
            Self::Bool(value) => formatter.write_str(if *value { "t" } else { "f" }),
            Self::Int(value) => write!(formatter, "{value}"),
            Self::Float(value) if value.is_infinite() => {
                formatter.write_str(if *value > 0.0 { "Infinity" } else { "-Infinity" })
            }
            Self::Float(value) => write!(formatter, "{value}"),
            Self::Text(value) => formatter.write_str(value),
        }
    }
}

fn utf8(bytes: &[u8]) -> Result<&str, SqlError> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding \"UTF8\""))?;
    if text.contains('\0') {
        return Err(SqlError::new("22021", "invalid byte sequence for encoding \"UTF8\": 0x00"));
    }
    Ok(text)
}
