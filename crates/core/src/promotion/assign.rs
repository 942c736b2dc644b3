//! Which entry is the broker of which target.

use {
    crate::{
        cluster::{BrokerRef, ClusterState, EntryRecord, TargetInfo, TargetRecord},
        detector::{LivenessTable, TargetKey},
        names::SharedName,
        time::Micros,
    },
    foldhash::fast::FixedState,
    std::hash::BuildHasher,
};

/// Delay of a target's first assignment, so that entries that start at the same time share the targets.
pub const FIRST_ASSIGNMENT_DELAY: Micros = Micros::from_secs(1);

/// Handovers for better placement that may be in progress at a time; each interrupts one target for
/// about a heartbeat.
pub const REBALANCE_LIMIT: usize = 2;

/// Time for which an entry set must be stable before brokerships move for better placement.
const REBALANCE_DELAY: Micros = Micros::from_secs(10);

/// Returns the entry that should be the broker of a target.
///
/// Rendezvous hashing among the eligible entries of the target's zone, else of its region, else of all:
/// when an entry leaves, only its own targets move.
#[must_use]
pub fn preferred_entry<'a, I>(
    entries: I,
    database: &SharedName,
    server: &SharedName,
    info: &TargetInfo,
) -> Option<&'a EntryRecord>
where
    I: Iterator<Item = &'a EntryRecord>,
{
    let mut best: Option<((u8, u64), &EntryRecord)> = None;
    for entry in entries {
        let locality = match &entry.info {
            place if place.region == info.region && place.zone == info.zone => 2,
            place if place.region == info.region => 1,
            _ => 0,
        };
        let names = (entry.info.host.as_str(), database.as_str(), server.as_str());
        let score = (locality, FixedState::with_seed(0).hash_one(names));
        if best.is_none_or(|(highest, _)| score > highest) {
            best = Some((score, entry));
        }
    }
    best.map(|(_, entry)| entry)
}

/// Bound of the work on better placement in one round, in pairs of a target and an entry.
const PLACEMENT_PAIRS: usize = 50_000;

/// Better placement is looked for in one of this many rounds over all groups.
const PLACEMENT_EVERY: u64 = 10;

/// The entries that may become brokers, and the handovers that may begin in this pass.
pub(super) struct AssignmentPlan<'a> {
    state: &'a ClusterState,
    table: &'a LivenessTable,
    now: Micros,
    eligible: Vec<&'a EntryRecord>,
    /// Handovers for better placement that may still begin.
    moves_left: usize,
    /// One target in this many is looked at for better placement in a round.
    placement_turns: u64,
    /// Number of times that every group was looked at.
    round: u64,
}

impl<'a> AssignmentPlan<'a> {
    pub(super) fn new(
        state: &'a ClusterState,
        table: &'a LivenessTable,
        now: Micros,
        turns: usize,
    ) -> Self {
        let mut eligible = Vec::new();
        for entry in state.entries().values() {
            if entry.is_eligible() && table.holds_lease(&reference(entry), now) {
                eligible.push(entry);
            }
        }
        let round = table.ticks() / u64::try_from(turns.max(1)).unwrap_or(1);
        let mut plan =
            Self { state, table, now, eligible, moves_left: 0, placement_turns: 1, round };
        let settled = now.since(table.lead_since()) >= REBALANCE_DELAY
            && table.entries_stable_for(state, now) >= REBALANCE_DELAY;
        if settled && round.is_multiple_of(PLACEMENT_EVERY) {
            plan.allow_moves();
        }
        plan
    }

    fn allow_moves(&mut self) {
        let mut releasing = 0;
        let mut targets = 0;
        for group in self.state.databases().values() {
            targets += group.targets.len();
            releasing += group.targets.values().filter(|target| target.releasing.is_some()).count();
        }
        self.moves_left = REBALANCE_LIMIT.saturating_sub(releasing);
        let pairs = targets.saturating_mul(self.eligible.len());
        self.placement_turns = u64::try_from(pairs / PLACEMENT_PAIRS + 1).unwrap_or(1);
    }

    /// Returns the next assignment of a target: `Some(None)` revokes, `None` changes nothing.
    pub(super) fn next_broker(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
        closed: bool,
    ) -> Option<Option<BrokerRef>> {
        if target.info.address.is_empty() {
            return None;
        }
        if let Some(broker) = &target.broker {
            return self.next_of_held(key, target, broker, closed);
        }
        if let Some(releasing) = &target.releasing {
            let released = self.table.is_gone(self.state, releasing, self.now)
                || self.table.is_released(releasing, key, target.assigned_version);
            if !released {
                return None;
            }
        } else if target.epoch == 0 {
            let heard = self.table.first_heard(key).unwrap_or(self.table.lead_since());
            if self.now.since(heard) < FIRST_ASSIGNMENT_DELAY {
                return None;
            }
        }
        Some(Some(self.best(key, target)?))
    }

    fn next_of_held(
        &mut self,
        key: &TargetKey,
        target: &TargetRecord,
        broker: &BrokerRef,
        closed: bool,
    ) -> Option<Option<BrokerRef>> {
        if self.table.is_gone(self.state, broker, self.now) {
            return Some(Some(self.best(key, target)?));
        }
        let holder = self.state.entries().get(&broker.host)?;
        if holder.info.incarnation != broker.incarnation {
            // The predecessor's lease is still running.
            return None;
        }
        if holder.live && !holder.is_eligible() {
            // Without a successor the draining entry keeps its targets.
            return self.best(key, target).map(|_| None);
        }
        if closed || self.moves_left == 0 || !self.placement_due(key) {
            return None;
        }
        if self.best(key, target)? == *broker {
            return None;
        }
        self.moves_left -= 1;
        Some(None)
    }

    fn placement_due(&self, key: &TargetKey) -> bool {
        let hash = FixedState::with_seed(1).hash_one((key.0.as_str(), key.1.as_str()));
        let turn = self.round / PLACEMENT_EVERY;
        hash % self.placement_turns == turn % self.placement_turns
    }

    fn best(&self, key: &TargetKey, target: &TargetRecord) -> Option<BrokerRef> {
        let entries = self.eligible.iter().copied();
        preferred_entry(entries, &key.0, &key.1, &target.info).map(reference)
    }
}

fn reference(entry: &EntryRecord) -> BrokerRef {
    BrokerRef { host: entry.info.host.clone(), incarnation: entry.info.incarnation }
}
