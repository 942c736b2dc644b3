//! How far a primary's log had come at known times.

use {
    crate::{position::LogPosition, time::Micros},
    std::collections::VecDeque,
};

/// Marks closer together than this are merged; callers' limits are hundreds of milliseconds.
const MARK_SPACING: Micros = Micros::from_millis(50);

/// Time for which marks are kept; longer than any limit that is worth a replica.
const MARK_LIFE: Micros = Micros::from_secs(10);

/// Position of a primary's log at or after a known time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessMark {
    /// Time at which the request was sent whose answer carried the position.
    pub asked: Micros,
    /// The position; it covers every commit that was acknowledged before `asked`.
    pub position: LogPosition,
}

impl FreshnessMark {
    /// Returns the mark of another entry whose answer says that it is `age` old; this entry asked at `asked`.
    ///
    /// The other entry answered after `asked`, so the mark is no younger than told. An age beyond the start of
    /// the clock yields nothing: a time of zero would make an old mark young.
    #[must_use]
    pub const fn reported(asked: Micros, age: Micros, position: LogPosition) -> Option<Self> {
        match asked.0.checked_sub(age.0) {
            Some(asked) => Some(Self { asked: Micros(asked), position }),
            None => None,
        }
    }
}

/// Recent marks of one group, in ascending order of their times.
///
/// A mark may only come from an answer that proves that its sender led: a commit, or a statement
/// inside a transaction that may write. A replaced primary's position does not cover its successor's
/// commits.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLog {
    marks: VecDeque<FreshnessMark>,
}

impl FreshnessLog {
    /// Records a mark.
    pub fn record(&mut self, mark: FreshnessMark) {
        let covered =
            |known: &FreshnessMark| known.asked >= mark.asked && known.position <= mark.position;
        if self.marks.iter().any(covered) {
            return;
        }
        self.marks.retain(|known| known.asked > mark.asked || known.position < mark.position);
        let place = self.marks.partition_point(|known| known.asked <= mark.asked);
        self.marks.insert(place, mark);
        self.thin_out(place);
        let oldest = mark.asked.since(MARK_LIFE);
        while self.marks.len() > 1 && self.marks.front().is_some_and(|front| front.asked < oldest) {
            self.marks.pop_front();
        }
    }

    // Drops the mark before `place` if its neighbours are close together; a later mark stands for it.
    fn thin_out(&mut self, place: usize) {
        if place < 2 {
            return;
        }
        let gap = self.marks[place].asked.since(self.marks[place - 2].asked);
        if gap < MARK_SPACING {
            self.marks.remove(place - 1);
        }
    }

    /// Returns the lowest known position that covers every commit acknowledged more than `max_age`
    /// before `now`, or `None` if no mark is that young.
    #[must_use]
    pub fn floor(&self, now: Micros, max_age: Micros) -> Option<LogPosition> {
        let since = now.since(max_age);
        let first = self.marks.partition_point(|mark| mark.asked < since);
        self.marks.get(first).map(|mark| mark.position)
    }

    /// Returns the newest mark.
    #[must_use]
    pub fn newest(&self) -> Option<FreshnessMark> {
        self.marks.back().copied()
    }
}
