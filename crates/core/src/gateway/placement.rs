//! Order in which a read tries the targets of a group.

use crate::{position::LogPosition, time::Micros};

/// Cost added for a target in another zone of the region; its network delay is already part of its latency.
const REGION_PENALTY: Micros = Micros::from_millis(5);

/// Cost added for a target in another region, where traffic is billed by the byte and a slow link is shared.
const REMOTE_PENALTY: Micros = Micros::from_millis(100);

/// Cost added for a primary, so that a replica at the same distance is preferred and the primary's slots stay free
/// for writes.
const PRIMARY_PENALTY: Micros = Micros::from_millis(10);

/// Factor applied to a primary's latency. Its slots are the only ones for writes and transactions: once these have
/// to queue, a read is better served by a replica in another region.
const PRIMARY_LATENCY_FACTOR: u64 = 3;

/// Cost added for a target whose responses all fail; a lower error rate adds a proportional part of it.
const ERROR_PENALTY: Micros = Micros::from_secs(1);

/// Distance of a target from the entry.
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
    /// Index that the calling code uses for the target; breaks ties.
    pub index: usize,
    /// Distance of the target from the entry.
    pub distance: Distance,
    /// Whether the target is the primary.
    pub primary: bool,
    /// Average response time.
    pub latency: Micros,
    /// Statements of this entry that the target runs or that wait for it.
    pub in_flight: u32,
    /// Statements of this entry that the target can run at a time.
    pub capacity: u32,
    /// Share of responses that reported a failure, in thousandths.
    pub error_rate: u32,
    /// Whether an attempt may succeed now.
    pub reachable: bool,
    /// Last known log position of the target; absent if it is unknown or outdated.
    pub position: Option<LogPosition>,
}

impl ReadCandidate {
    /// Returns the expected response time plus penalties.
    ///
    /// Each full batch of `capacity` requests in flight adds one response time, which moves load off a target that
    /// became slow before its queue is full.
    fn cost(&self) -> Micros {
        let rounds = 1 + u64::from(self.in_flight / self.capacity.max(1));
        let distance = match self.distance {
            Distance::Zone => Micros::ZERO,
            Distance::Region => REGION_PENALTY,
            Distance::Remote => REMOTE_PENALTY,
        };
        let error_penalty = Micros(ERROR_PENALTY.0 * u64::from(self.error_rate) / 1_000);
        let answer = Micros(self.latency.0 * rounds) + distance + error_penalty;
        if self.primary {
            Micros(answer.0 * PRIMARY_LATENCY_FACTOR) + PRIMARY_PENALTY
        } else {
            answer
        }
    }

    /// Returns whether the target's log is known not to have reached `floor`.
    #[must_use]
    pub fn lacks(&self, floor: Option<LogPosition>) -> bool {
        matches!((self.position, floor), (Some(position), Some(floor)) if position < floor)
    }
}

/// Sorts the candidates of a read by cost; targets that are unreachable or have not reached the floor come last.
///
/// Designed for reads of one zone while a target in it is slow, far behind or fails part of its statements.
pub fn order_candidates(candidates: &mut [ReadCandidate], floor: Option<LogPosition>) {
    candidates.sort_by_key(|candidate| {
        (!candidate.reachable, candidate.lacks(floor), candidate.cost(), candidate.index)
    });
}
