//! Conversions between protocol values and core types.

use {crate::v1, banyansill_core::position::LogPosition};

impl From<LogPosition> for v1::Position {
    fn from(position: LogPosition) -> Self {
        Self { term: position.term.0, offset: position.offset }
    }
}

impl From<v1::Position> for LogPosition {
    fn from(position: v1::Position) -> Self {
        Self::new(position.term, position.offset)
    }
}
