//! The floor of a session: the log position that its reads must not fall behind.

use crate::{
    failure::FailureKind,
    position::{LogPosition, LogTerm},
    route::DatabaseRoute,
};

/// Lowest position at which a session's reads may be served.
///
/// Unknown after connecting, because the session may have written through another entry. It rises
/// with every position that the session wrote or read at. One position is kept per term until the
/// history shows that a later term contains it.
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

    /// Returns whether the floor covers everything the session may have seen elsewhere.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Takes over a position of the primary that was learnt after the session connected.
    ///
    /// The primary's position then covers all that was acknowledged to the session before.
    pub fn learn(&mut self, mark: LogPosition) {
        self.known = true;
        self.raise(mark);
    }

    /// Raises the floor to a position that the session wrote or read at; lower ones change nothing.
    pub fn raise(&mut self, position: LogPosition) {
        match self.positions.binary_search_by_key(&position.term, |held| held.term) {
            Ok(index) => {
                let held = &mut self.positions[index];
                held.offset = held.offset.max(position.offset);
            }
            Err(index) => self.positions.insert(index, position),
        }
    }

    /// Checks the floor against the group's history and returns the position that reads need.
    ///
    /// Positions of earlier terms are forgotten once a later term of the floor contains them.
    ///
    /// # Errors
    ///
    /// Returns `HistoryLost` if a position does not belong to the history that survived.
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
            self.positions.retain(|held| held.term == last.term || last.term > route.term);
        }
        Ok(last)
    }
}

/// Returns whether the history in `route` contains a position.
///
/// A position of the current term or of one that `route` does not know yet always counts as
/// contained. Without the record of the term that followed, the position is not provably there and
/// counts as lost.
fn survives(mut position: LogPosition, route: &DatabaseRoute) -> bool {
    // A primary that has not written yet reports its own term with an inherited offset.
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
