//! Floor of a session: the lowest log position at which its reads may be served.

use crate::{
    failure::FailureKind,
    position::{LogPosition, LogTerm},
    route::DatabaseRoute,
};

/// Lowest position at which a session's reads may be served.
///
/// It is unknown after connecting, because the session may have written through another entry. It
/// rises with every position that the session wrote or read at. One position is kept per term until
/// the history shows that a later term contains it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionFloor {
    known: bool,
    positions: Vec<LogPosition>,
}

impl SessionFloor {
    /// Creates the floor of a session that has just connected.
    #[must_use]
    pub const fn unknown() -> Self {
        Self { known: false, positions: Vec::new() }
    }

    /// Returns whether the floor covers everything that the session may have written or read through
    /// other entries.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Marks the floor as known and raises it to a position that the primary had after the session
    /// connected.
    ///
    /// That position covers all writes acknowledged to the session through other entries before.
    pub fn initialize(&mut self, primary: LogPosition) {
        self.known = true;
        self.raise(primary);
    }

    /// Raises the floor to a position that the session wrote or read at; lower ones change nothing.
    pub fn raise(&mut self, position: LogPosition) {
        match self.positions.binary_search_by_key(&position.term, |existing| existing.term) {
            Ok(index) => {
                let existing = &mut self.positions[index];
                existing.offset = existing.offset.max(position.offset);
            }
            Err(index) => self.positions.insert(index, position),
        }
    }

    /// Checks the floor against the group's history and returns the position that reads need.
    ///
    /// Positions of earlier terms are dropped once a later position of the floor contains them.
    ///
    /// # Errors
    ///
    /// Returns `HistoryLost` if a position is not part of the history that survived.
    pub fn require(&mut self, route: &DatabaseRoute) -> Result<Option<LogPosition>, FailureKind> {
        for position in &self.positions {
            if !survives(*position, route) {
                return Err(FailureKind::HistoryLost);
            }
        }
        let last = self.positions.last().copied();
        if let Some(last) = last
            && self.positions.len() > 1
        {
            self.positions.retain(|existing| existing.term == last.term || last.term > route.term);
        }
        Ok(last)
    }
}

/// Returns whether the history in `route` contains a position.
///
/// A position of the current term, or of a later one that `route` does not contain yet, always counts
/// as contained. Without the record of the term that followed, nothing proves that the position
/// survived, and it counts as lost.
fn survives(mut position: LogPosition, route: &DatabaseRoute) -> bool {
    // A primary that has not written in its term reports that term with an offset from an earlier one.
    for begun in route.history.iter().rev() {
        if begun.term == position.term
            && position.offset <= begun.start.offset
            && begun.start.term < position.term
        {
            position.term = begun.start.term;
        }
    }
    if position.term >= route.term || position.offset == 0 {
        return true;
    }
    let mut next: Option<(LogTerm, LogPosition)> = None;
    for begun in &route.history {
        if begun.term > position.term && next.is_none_or(|(earliest, _)| begun.term < earliest) {
            next = Some((begun.term, begun.start));
        }
    }
    next.is_some_and(|(_, start)| start.term == position.term && start.offset >= position.offset)
}
