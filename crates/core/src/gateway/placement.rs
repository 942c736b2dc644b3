//! Order in which the targets of a group are tried for a read.

use crate::{position::LogPosition, time::Micros};

/// Charge for a target in another zone of the region; its network delay is part of its latency.
const REGION_CHARGE: Micros = Micros::from_millis(5);

/// Charge for a target in another region, where each byte is priced and a slow link is shared.
const REMOTE_CHARGE: Micros = Micros::from_millis(100);

/// Charge for a primary beside a replica at the same distance, which keeps its slots for writes.
const PRIMARY_CHARGE: Micros = Micros::from_millis(10);

/// Weight of a primary's latency. Its slots are the only ones for writes and transactions: where they have to
/// queue, a read is better off with a replica in another region.
const PRIMARY_WEIGHT: u64 = 3;

/// Charge for a target all of whose answers are failures; a share of failures costs that share.
const ERROR_CHARGE: Micros = Micros::from_secs(1);

/// Place of a target relative to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Remote,
}

/// A target that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadCandidate {
    /// Number that the caller knows the target by.
    pub index: usize,
    /// Place of the target.
    pub distance: Distance,
    /// Whether it is the primary.
    pub primary: bool,
    /// Average time to an answer.
    pub latency: Micros,
    /// Statements of this entry that it runs or that wait for it.
    pub in_flight: u32,
    /// Statements of this entry that it can run at a time.
    pub capacity: u32,
    /// Share of failed answers, in thousandths.
    pub errors: u32,
    /// Whether a try may succeed now.
    pub reachable: bool,
    /// Position that it was last known to have, while that is recent.
    pub position: Option<LogPosition>,
}

impl ReadCandidate {
    /// Returns the expected time to an answer plus charges.
    ///
    /// Requests of this entry beyond the capacity wait for a whole turn each, which moves load off a
    /// target that got slow before its queue is full.
    fn cost(&self) -> Micros {
        let turns = 1 + u64::from(self.in_flight / self.capacity.max(1));
        let distance = match self.distance {
            Distance::Zone => Micros::ZERO,
            Distance::Region => REGION_CHARGE,
            Distance::Remote => REMOTE_CHARGE,
        };
        let errors = Micros(ERROR_CHARGE.0 * u64::from(self.errors) / 1_000);
        let answer = Micros(self.latency.0 * turns) + distance + errors;
        if self.primary { Micros(answer.0 * PRIMARY_WEIGHT) + PRIMARY_CHARGE } else { answer }
    }

    /// Returns whether the target is known to lack a position.
    #[must_use]
    pub fn lacks(&self, floor: Option<LogPosition>) -> bool {
        matches!((self.position, floor), (Some(position), Some(floor)) if position < floor)
    }
}

/// Sorts the candidates of a read; targets that cannot be reached or lack the floor come last.
///
/// Load: reads of one zone while a target in it is slow, far behind or fails part of its answers.
pub fn order_candidates(candidates: &mut [ReadCandidate], floor: Option<LogPosition>) {
    candidates.sort_by_key(|candidate| {
        (!candidate.reachable, candidate.lacks(floor), candidate.cost(), candidate.index)
    });
}
