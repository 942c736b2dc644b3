//! Log positions of a primary at known times, which bound the staleness of reads.

use {
    crate::{position::LogPosition, time::Micros},
    std::collections::VecDeque,
};

/// Minimum interval between marks; closer ones are merged. Callers' staleness limits are hundreds of
/// milliseconds.
const MIN_MARK_INTERVAL: Micros = Micros::from_millis(50);

/// Time for which marks are kept; longer than any staleness limit for which reading from a replica pays off.
const MARK_RETENTION: Micros = Micros::from_secs(10);

/// Log position that a primary reported in response to a request sent at a known time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessMark {
    /// Time at which the request was sent.
    pub sent_at: Micros,
    /// Reported position; it covers every commit that was acknowledged before `sent_at`.
    pub position: LogPosition,
}

impl FreshnessMark {
    /// Converts a mark that another entry reported as `age` old, in response to a request sent at `sent_at`.
    ///
    /// The other entry computed the age after `sent_at`, so the converted mark never appears newer than it is.
    /// Returns `None` if the mark predates the start of this entry's clock: clamping its time to zero would make
    /// an old mark appear newer.
    #[must_use]
    pub const fn reported(sent_at: Micros, age: Micros, position: LogPosition) -> Option<Self> {
        match sent_at.0.checked_sub(age.0) {
            Some(sent_at) => Some(Self { sent_at: Micros(sent_at), position }),
            None => None,
        }
    }
}

/// Recent marks of one group, in ascending order of time.
///
/// A mark may only come from a response that proves that its sender was the primary: the commit of a write, or another
/// statement inside a read-write transaction. The COMMIT of a transaction that wrote nothing is no proof, since a replaced
/// primary accepts it as well. The position of a replaced primary does not cover its successor's commits.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLog {
    marks: VecDeque<FreshnessMark>,
}

impl FreshnessLog {
    /// Records a mark, and drops marks that it makes redundant or that are too old.
    pub fn record(&mut self, mark: FreshnessMark) {
        let covered =
            |kept: &FreshnessMark| kept.sent_at >= mark.sent_at && kept.position <= mark.position;
        if self.marks.iter().any(covered) {
            return;
        }
        // A later response of a lower term comes from a replaced primary, whatever its sender took for a proof. After a while
        // it can come from one that was promoted without the entries of that term.
        let replaced = |kept: &FreshnessMark| {
            kept.sent_at <= mark.sent_at
                && kept.position.term > mark.position.term
                && mark.sent_at.since(kept.sent_at) < MARK_RETENTION
        };
        if self.marks.iter().any(replaced) {
            return;
        }
        self.marks.retain(|kept| kept.sent_at > mark.sent_at || kept.position < mark.position);
        let index = self.marks.partition_point(|kept| kept.sent_at <= mark.sent_at);
        self.marks.insert(index, mark);
        self.merge_close_marks(index);
        let oldest = mark.sent_at.since(MARK_RETENTION);
        while self.marks.len() > 1 && self.marks.front().is_some_and(|front| front.sent_at < oldest)
        {
            self.marks.pop_front();
        }
    }

    // Drops the mark before `index` if its neighbors are close together; the later neighbor covers it.
    fn merge_close_marks(&mut self, index: usize) {
        if index < 2 {
            return;
        }
        let interval = self.marks[index].sent_at.since(self.marks[index - 2].sent_at);
        if interval < MIN_MARK_INTERVAL {
            self.marks.remove(index - 1);
        }
    }

    /// Returns the lowest known position that covers every commit acknowledged more than `max_age`
    /// before `now`, or `None` if no mark is recent enough.
    #[must_use]
    pub fn floor(&self, now: Micros, max_age: Micros) -> Option<LogPosition> {
        let since = now.since(max_age);
        let first = self.marks.partition_point(|mark| mark.sent_at < since);
        self.marks.get(first).map(|mark| mark.position)
    }

    /// Returns the newest mark.
    #[must_use]
    pub fn newest(&self) -> Option<FreshnessMark> {
        self.marks.back().copied()
    }
}
